#ifndef LABURNUMKEEL_ENDPOINTS_RETRY_POLICY_H_
#define LABURNUMKEEL_ENDPOINTS_RETRY_POLICY_H_

#include <string>
#include <string_view>

#include "laburnumkeel/endpoints/endpoint_error.h"
#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::endpoints {

struct RetryLimits {
  // A planned promotion refuses writes for up to 2 s. Attempts every 100 to
  // 200 ms outlast it, and the deadline of the request ends them earlier.
  int maximum_attempts = 40;
  // An `unknown` attempt may still occupy a slot of the endpoint.
  int maximum_unknown_attempts = 3;
  kernel::Duration initial_backoff = std::chrono::milliseconds(5);
  kernel::Duration maximum_backoff = std::chrono::milliseconds(200);
  // An attempt with less time than this left is not worth sending.
  kernel::Duration minimum_attempt_time = std::chrono::milliseconds(10);

  bool operator==(const RetryLimits&) const = default;
};

// The state of a request after an attempt that gave no result.
struct FailedAttempt {
  model::Outcome outcome = model::Outcome::kUnknown;
  std::string code;
  // The caller marked the request repeatable or gave an idempotency id, or the
  // request is a read.
  bool may_repeat = false;
  // Attempts so far, this one included.
  int attempts = 1;
  // Time to the deadline of the request.
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

  // `random` is uniform in [0, 1) and spreads the backoff, as kernel::Backoff
  // describes.
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
