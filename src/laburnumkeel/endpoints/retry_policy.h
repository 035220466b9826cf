#ifndef LABURNUMKEEL_ENDPOINTS_RETRY_POLICY_H_
#define LABURNUMKEEL_ENDPOINTS_RETRY_POLICY_H_

#include <string>
#include <string_view>

#include "laburnumkeel/endpoints/endpoint_error.h"
#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::endpoints {

struct RetryLimits {
  // A planned promotion refuses writes for up to 2 s. With 100 to 200 ms
  // between attempts, a request is still retried after that, unless its
  // deadline ends the attempts earlier.
  int maximum_attempts = 40;
  // Lower, because an attempt with outcome `unknown` may still occupy a slot of
  // the endpoint.
  int maximum_unknown_attempts = 3;
  kernel::Duration initial_backoff = std::chrono::milliseconds(5);
  kernel::Duration maximum_backoff = std::chrono::milliseconds(200);
  // No attempt is made when less time than this would remain for it.
  kernel::Duration minimum_attempt_time = std::chrono::milliseconds(10);

  bool operator==(const RetryLimits&) const = default;
};

// The state of a request after a failed attempt.
struct FailedAttempt {
  model::Outcome outcome = model::Outcome::kUnknown;
  std::string code;
  // Whether the request may be sent again although it may have run: the caller
  // marked it repeatable or gave an idempotency id, or it is a read.
  bool may_repeat = false;
  // Attempts so far, this one included.
  int attempts = 1;
  // Time until the deadline of the request.
  kernel::Duration time_left{0};

  bool operator==(const FailedAttempt&) const = default;
};

struct RetryDecision {
  bool retry = false;
  // Time to wait before the next attempt; 0 without a retry.
  kernel::Duration backoff{0};
  std::string_view reason;

  bool operator==(const RetryDecision&) const = default;
};

// Decides whether a request is sent again.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetryLimits& limits) : limits(limits) {}

  // `random` is uniform in [0, 1) and provides the jitter of the backoff, see
  // kernel::Backoff.
  RetryDecision Decide(const FailedAttempt& attempt, double random) const;

 private:
  RetryLimits limits;
};

// Logs the decision for the request.
void LogRetryDecision(const std::string& request_id,
                      const FailedAttempt& attempt,
                      const RetryDecision& decision);

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_RETRY_POLICY_H_
