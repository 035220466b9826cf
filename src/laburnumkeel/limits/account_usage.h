#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_USAGE_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_USAGE_H_

#include <cstdint>

#include "laburnumkeel/limits/demand_meter.h"
#include "laburnumkeel/limits/limit_decision.h"
#include "laburnumkeel/limits/token_bucket.h"

namespace laburnumkeel::limits {

// Tokens and demand of one account on one VM. Not thread-safe.
class AccountUsage {
 public:
  // Counts the request and takes a token for it, unless waiting requests need
  // the tokens. The decision is final.
  LimitDecision TryTake(kernel::Instant now);

  // As TryTake, but the request waits if it can expect a token in time.
  LimitDecision TakeOrWait(kernel::Instant now);
  // Tries again for a request that has waited for `waited`.
  LimitDecision Retry(kernel::Duration waited, kernel::Instant now);
  // Removes a waiting request that was cancelled.
  void StopWaiting() { this->waiting -= 1; }

  bool IsWaiting() const { return this->waiting > 0; }

  // Replaces the shares; a default LeasedAmount stands for none.
  void Apply(const LeasedAmount& dynamic, const LeasedAmount& reserve,
             kernel::Instant now);

  // Requests a second, including the rate that serves the waiting requests.
  // Without that rate, a share that follows rising demand with a delay would
  // stay below it for as long as demand rises.
  double Demand(kernel::Instant now) const;

 private:
  LimitReason RefusalReason(kernel::Instant now) const;

  // Time until the bucket holds `tokens`, at most kMaximumWait; kMaximumWait if
  // the rate is 0.
  kernel::Duration TimeUntil(double tokens, kernel::Instant now);

  TokenBucket bucket;
  // Number of waiting requests.
  std::int64_t waiting = 0;
  DemandMeter meter;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_USAGE_H_
