#include "laburnumkeel/limits/account_view.h"

#include <cmath>

namespace laburnumkeel::limits {

namespace {

// A target whose difference from the current share is at most this fraction of
// the limit does not change the share. Otherwise the fluctuation of measured
// demand would change every share in every round, and each lowered burst
// discards tokens.
constexpr double kDeadBand = 0.002;

bool IsClose(const ShareAmount& left, const ShareAmount& right,
             const ShareAmount& limit) {
  return std::abs(left.rate - right.rate) <= limit.rate * kDeadBand &&
         std::abs(left.burst - right.burst) <= limit.burst * kDeadBand;
}

bool IsOverLimit(const AccountView& view) {
  return !IsWithin(view.others + Total(view.usable), view.limit);
}

AccountShares Desired(const AccountView& view) {
  const bool is_close =
      IsClose(view.usable.dynamic, view.target.dynamic, view.limit) &&
      IsClose(view.usable.reserve, view.target.reserve, view.limit);
  return is_close && !IsOverLimit(view) ? view.usable : view.target;
}

}  // namespace

AccountShares Lower(const AccountView& view) {
  const AccountShares desired = Desired(view);
  const ShareAmount dynamic = Smaller(view.usable.dynamic, desired.dynamic);
  const ShareAmount reserve = Smaller(view.usable.reserve, desired.reserve);
  if (!view.must_fit) {
    return AccountShares{dynamic, reserve, view.target.demand};
  }
  const ShareAmount room = NotNegative(view.limit - view.others);
  const ShareAmount kept_reserve = Smaller(reserve, room);
  return AccountShares{Smaller(dynamic, room - kept_reserve), kept_reserve,
                       view.target.demand};
}

AccountUpdate Grow(const AccountView& view, const AccountShares& lowered,
                   const AccountShares& in_use) {
  const AccountShares held{Larger(lowered.dynamic, in_use.dynamic),
                           Larger(lowered.reserve, in_use.reserve),
                           view.target.demand};
  if (!view.may_grow) {
    return AccountUpdate{held, lowered};
  }
  const AccountShares desired = Desired(view);
  const ShareAmount room = NotNegative(view.limit - view.others - Total(held));
  const ShareAmount reserve =
      Smaller(NotNegative(desired.reserve - held.reserve), room);
  const ShareAmount dynamic = Smaller(
      NotNegative(desired.dynamic - held.dynamic), NotNegative(room - reserve));
  const AccountShares written{held.dynamic + dynamic, held.reserve + reserve,
                              view.target.demand};
  // While the ledger contains a larger share because the entry program has not
  // confirmed the smaller one, the smaller one is offered.
  return AccountUpdate{
      written,
      AccountShares{
          Smaller(written.dynamic, Larger(lowered.dynamic, desired.dynamic)),
          Smaller(written.reserve, Larger(lowered.reserve, desired.reserve)),
          view.target.demand}};
}

std::string_view ChangeReason(const AccountView& view,
                              const AccountShares& before,
                              const AccountShares& after) {
  const bool is_lower = !IsAtMost(Total(before), Total(after));
  if (!is_lower) {
    return "demand_or_unassigned_rest";
  }
  if (IsZero(view.limit)) {
    return "account_removed";
  }
  return IsOverLimit(view) ? "limit_lowered" : "demand_of_other_vms";
}

}  // namespace laburnumkeel::limits
