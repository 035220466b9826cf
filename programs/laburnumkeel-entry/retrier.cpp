#include "programs/laburnumkeel-entry/retrier.h"

#include <random>
#include <thread>

namespace laburnumkeel::entry {

namespace {

double RandomFraction() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

bool Retrier::AwaitRetry(const AdmittedRequest& admitted,
                         const endpoints::EndpointError& error,
                         int attempts) const {
  const endpoints::FailedAttempt attempt{
      error.outcome, error.code,
      admitted.request.repeatable ||
          admitted.request.idempotency_id.has_value(),
      attempts, admitted.deadline - this->clock.Now()};
  const endpoints::RetryDecision decision =
      this->policy.Decide(attempt, RandomFraction());
  endpoints::LogRetryDecision(admitted.request.request_id, attempt, decision);
  if (decision.retry) {
    this->metrics.Count("retries_total");
    std::this_thread::sleep_for(decision.backoff);
  }
  return decision.retry;
}

}  // namespace laburnumkeel::entry
