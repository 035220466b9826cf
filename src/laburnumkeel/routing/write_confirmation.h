#ifndef LABURNUMKEEL_ROUTING_WRITE_CONFIRMATION_H_
#define LABURNUMKEEL_ROUTING_WRITE_CONFIRMATION_H_

#include <string>
#include <string_view>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/routing/group_view.h"

namespace laburnumkeel::routing {

// Maximum age at which a write request can be acknowledged.
inline constexpr kernel::Duration kAcknowledgementBound =
    std::chrono::seconds(2);

enum class ConfirmationState { kConfirmed, kPending, kUnknown };

enum class ConfirmationReason {
  kMajority,
  kAwaitingMajority,
  // The request is older than `kAcknowledgementBound`.
  kTooOld,
  // A term above the write's is known.
  kHigherTerm,
};

std::string_view ToString(ConfirmationReason reason);

struct Confirmation {
  ConfirmationState state = ConfirmationState::kPending;
  ConfirmationReason reason = ConfirmationReason::kAwaitingMajority;

  bool operator==(const Confirmation&) const = default;
};

// A write that the primary reported as executed.
struct ExecutedWrite {
  // The endpoint that executed it.
  std::string primary;
  model::LogPosition position;
  // When the caller's request arrived.
  kernel::Instant started;

  bool operator==(const ExecutedWrite&) const = default;
};

// Whether the write can be acknowledged at `now`. The primary counts towards
// the majority because of its response, the other members because of their
// statuses in the view. Call it again, with the newest view, right before the
// response is sent.
Confirmation ConfirmWrite(const GroupView& view, const ExecutedWrite& write,
                          kernel::Instant now);

// Whether a read that began at `began` and ran on the primary of `term`
// observed all writes acknowledged before it began: a majority still had `term`
// as its sealed term in statuses requested at or after `began`.
bool IsPrimaryConfirmed(const GroupView& view, model::Term term,
                        kernel::Instant began);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_WRITE_CONFIRMATION_H_
