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
  // Counts the request and takes a token for it, unless the tokens are needed
  // by requests that wait. The decision is final.
  LimitDecision TryTake(kernel::Instant now);

  // As TryTake, but the request waits if it can expect a token in time.
  LimitDecision TakeOrWait(kernel::Instant now);
  // Tries again for a request that has waited for `waited`.
  LimitDecision Retry(kernel::Duration waited, kernel::Instant now);
  // A request that waits was given up.
  void StopWaiting() { this->waiting -= 1; }

  bool IsWaiting() const { return this->waiting > 0; }

  // Replaces the shares; a default LeasedAmount stands for none.
  void Apply(const LeasedAmount& dynamic, const LeasedAmount& reserve,
             kernel::Instant now);

  // Requests a second, with what it takes to serve those that wait. Without
  // these, a share that follows rising demand with a delay would stay short of
  // it for as long as demand rises.
  double Demand(kernel::Instant now) const;

 private:
  LimitReason RefusalReason(kernel::Instant now) const;

  // Time until the bucket holds `tokens`; the maximum without a rate.
  kernel::Duration TimeUntil(double tokens, kernel::Instant now);

  TokenBucket bucket;
  // Requests that wait.
  std::int64_t waiting = 0;
  DemandMeter meter;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_USAGE_H_
