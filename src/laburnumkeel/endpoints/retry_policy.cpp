#include "laburnumkeel/endpoints/retry_policy.h"

#include "laburnumkeel/endpoints/events.h"
#include "laburnumkeel/kernel/backoff.h"

namespace laburnumkeel::endpoints {

namespace {

// Whether another attempt may succeed, because it may find another endpoint, a
// newer term or a free connection.
bool IsTransient(std::string_view code) {
  return (IsEndpointRefusal(code) && code != codes::kBadStatement &&
          code != codes::kConflict) ||
         code == codes::kConnectFailed || code == codes::kConnectionClosed ||
         code == codes::kPoolClosed || code == codes::kNoTransactionSlot ||
         code == codes::kNoPrimary || code == codes::kTermSuperseded;
}

RetryDecision Refuse(std::string_view reason) {
  return RetryDecision{false, kernel::Duration(0), reason};
}

}  // namespace

RetryDecision RetryPolicy::Decide(const FailedAttempt& attempt,
                                  double random) const {
  if (attempt.outcome == model::Outcome::kDone) {
    return Refuse("done");
  }
  const bool is_unknown = attempt.outcome == model::Outcome::kUnknown;
  if (is_unknown && !attempt.may_repeat) {
    return Refuse("may_have_run");
  }
  if (!is_unknown && !IsTransient(attempt.code)) {
    return Refuse("permanent_refusal");
  }
  if (attempt.attempts >= (is_unknown ? this->limits.maximum_unknown_attempts
                                      : this->limits.maximum_attempts)) {
    return Refuse("attempts_exhausted");
  }
  // A pooled connection closed by the endpoint is no sign of overload, so the
  // first retry on another connection needs no backoff.
  const bool retries_immediately =
      attempt.code == codes::kConnectionClosed && attempt.attempts == 1;
  const kernel::Duration backoff =
      retries_immediately ? kernel::Duration(0)
                          : kernel::Backoff(this->limits.initial_backoff,
                                            this->limits.maximum_backoff,
                                            attempt.attempts, random);
  if (attempt.time_left < backoff + this->limits.minimum_attempt_time) {
    return Refuse("deadline");
  }
  return RetryDecision{true, backoff, is_unknown ? "may_repeat" : "not_run"};
}

void LogRetryDecision(const std::string& request_id,
                      const FailedAttempt& attempt,
                      const RetryDecision& decision) {
  kernel::LogEvent(
      kRetryDecided,
      {{"request_id", request_id},
       {"outcome", ToString(attempt.outcome)},
       {"code", attempt.code},
       {"attempts", attempt.attempts},
       {"retry", decision.retry},
       {"backoff_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(decision.backoff)
            .count()},
       {"reason", decision.reason}});
}

}  // namespace laburnumkeel::endpoints
