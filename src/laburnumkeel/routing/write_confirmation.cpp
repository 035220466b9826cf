#include "laburnumkeel/routing/write_confirmation.h"

#include <algorithm>

namespace laburnumkeel::routing {

namespace {

// A last entry of the same term at or above the position proves that the log
// contains the write; a last entry of another term proves nothing. The member
// must also not have sealed a higher term: while it catches up with a later
// primary, its last entry has earlier terms for a while, and such an entry can
// still be replaced by one of a term in between.
bool ContainsWrite(const MemberState& member, const ExecutedWrite& write) {
  if (member.endpoint == write.primary) {
    return true;
  }
  return member.measurement &&
         member.measurement->status.sealed_term == write.position.term &&
         member.measurement->status.log_end.term == write.position.term &&
         member.measurement->status.log_end.position >= write.position.position;
}

}  // namespace

std::string_view ToString(ConfirmationReason reason) {
  switch (reason) {
    case ConfirmationReason::kMajority:
      return "majority";
    case ConfirmationReason::kAwaitingMajority:
      return "awaiting_majority";
    case ConfirmationReason::kTooOld:
      return "too_old";
    case ConfirmationReason::kHigherTerm:
      return "higher_term";
  }
  return "awaiting_majority";
}

Confirmation ConfirmWrite(const GroupView& view, const ExecutedWrite& write,
                          kernel::Instant now) {
  if (now - write.started > kAcknowledgementBound) {
    return {ConfirmationState::kUnknown, ConfirmationReason::kTooOld};
  }
  if (view.HighestTerm() > write.position.term) {
    return {ConfirmationState::kUnknown, ConfirmationReason::kHigherTerm};
  }
  const auto confirming_members = static_cast<std::size_t>(std::count_if(
      view.Members().begin(), view.Members().end(),
      [&](const MemberState& member) { return ContainsWrite(member, write); }));
  if (confirming_members < view.Majority()) {
    return {ConfirmationState::kPending, ConfirmationReason::kAwaitingMajority};
  }
  return {ConfirmationState::kConfirmed, ConfirmationReason::kMajority};
}

bool IsPrimaryConfirmed(const GroupView& view, model::Term term,
                        kernel::Instant began) {
  const auto agreeing = static_cast<std::size_t>(std::count_if(
      view.Members().begin(), view.Members().end(),
      [&](const MemberState& member) {
        return member.measurement && member.measurement->sent >= began &&
               member.measurement->status.sealed_term == term;
      }));
  return agreeing >= view.Majority();
}

}  // namespace laburnumkeel::routing
