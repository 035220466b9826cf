#include "laburnumkeel/limits/round_view.h"

#include <algorithm>
#include <utility>

#include "laburnumkeel/limits/share_plan.h"

namespace laburnumkeel::limits {

namespace {

// Fraction of a limit by which a VM's share must fall short of its demand
// before rounds become more frequent. Smaller differences are the usual
// fluctuation of measured demand.
constexpr double kShortageFraction = 0.03;

}  // namespace

RoundView::RoundView(const ShareLedger& ledger, const FleetLimits& limits,
                     const std::vector<AccountDemand>& demands,
                     RoundViewSettings settings, const IsInactive& is_inactive)
    : limits(limits), settings(std::move(settings)), ledger(ledger) {
  for (const AccountDemand& demand : demands) {
    this->demands[demand.account] = demand.demand;
  }
  for (const LedgerEntry& entry : ledger.entries) {
    if (entry.incarnation == this->settings.incarnation) {
      continue;
    }
    if (is_inactive(entry)) {
      this->inactive.push_back(entry);
      continue;
    }
    this->active.push_back(entry);
    this->is_newest_configuration =
        this->is_newest_configuration &&
        entry.configuration_version <= limits.configuration_version;
  }
}

bool RoundView::IsConfigured(const std::string& account) const {
  return std::any_of(
      this->limits.accounts.begin(), this->limits.accounts.end(),
      [&](const AccountLimit& limit) { return limit.account == account; });
}

AccountView RoundView::Of(const std::string& account,
                          const AccountShares& usable,
                          bool was_exceeded) const {
  ShareAmount others;
  for (const std::vector<LedgerEntry>* entries :
       {&this->active, &this->inactive}) {
    for (const LedgerEntry& entry : *entries) {
      others = others + Total(SharesOf(entry, account));
    }
  }
  const ShareAmount limit = this->LimitOf(account);
  return AccountView{limit,
                     others,
                     usable,
                     this->Target(account, limit),
                     this->is_newest_configuration,
                     this->is_newest_configuration && was_exceeded};
}

bool RoundView::IsExceeded(const std::string& account) const {
  return this->is_newest_configuration &&
         !IsWithin(TotalOf(this->ledger, account), this->LimitOf(account));
}

ShareLedger RoundView::With(const LedgerEntry& own) const {
  ShareLedger next;
  next.entries = this->active;
  next.entries.insert(next.entries.end(), this->inactive.begin(),
                      this->inactive.end());
  next.entries.push_back(own);
  return next;
}

bool RoundView::HasShortage(const ShareLedger& next) const {
  return std::any_of(
      this->limits.accounts.begin(), this->limits.accounts.end(),
      [&](const AccountLimit& limit) {
        return DemandOf(next, limit.account) <= limit.limit.rate &&
               std::any_of(next.entries.begin(), next.entries.end(),
                           [&](const LedgerEntry& entry) {
                             const AccountShares shares =
                                 SharesOf(entry, limit.account);
                             return shares.demand - Total(shares).rate >
                                    limit.limit.rate * kShortageFraction;
                           });
      });
}

ShareAmount RoundView::LimitOf(const std::string& account) const {
  for (const AccountLimit& limit : this->limits.accounts) {
    if (limit.account == account) {
      return limit.limit;
    }
  }
  return ShareAmount{};
}

AccountShares RoundView::Target(const std::string& account,
                                const ShareAmount& limit) const {
  const auto own = this->demands.find(account);
  PlanInput input{limit,
                  ShareAmount{},
                  ShareAmount{},
                  {VmDemand{this->settings.incarnation,
                            own == this->demands.end() ? 0 : own->second}},
                  this->limits.fleet_size,
                  this->settings.reserve_fraction};
  for (const LedgerEntry& entry : this->active) {
    const AccountShares shares = SharesOf(entry, account);
    input.other_reserves = input.other_reserves + shares.reserve;
    input.active.push_back(VmDemand{entry.incarnation, shares.demand});
  }
  for (const LedgerEntry& entry : this->inactive) {
    const AccountShares shares = SharesOf(entry, account);
    input.other_reserves = input.other_reserves + shares.reserve;
    input.inactive = input.inactive + Total(shares);
  }
  // Every VM uses the same order, so that all split equal demands alike.
  std::sort(input.active.begin(), input.active.end(),
            [](const VmDemand& left, const VmDemand& right) {
              return left.incarnation < right.incarnation;
            });
  return PlanShares(input, this->settings.incarnation);
}

}  // namespace laburnumkeel::limits
