#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_USAGE_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_USAGE_H_

#include "laburnumkeel/limits/demand_meter.h"
#include "laburnumkeel/limits/limit_decision.h"
#include "laburnumkeel/limits/token_bucket.h"

namespace laburnumkeel::limits {

// Tokens and demand of one account on one VM. Not thread-safe.
class AccountUsage {
 public:
  // Counts the request and takes a token for it.
  LimitDecision TryTake(kernel::Instant now);

  // Replaces the shares; a default LeasedAmount stands for none.
  void Apply(const LeasedAmount& dynamic, const LeasedAmount& reserve,
             kernel::Instant now);

  // Requests a second.
  double Demand(kernel::Instant now) const {
    return this->meter.PerSecond(now);
  }

 private:
  LimitReason RefusalReason(kernel::Instant now) const;

  TokenBucket bucket;
  DemandMeter meter;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_USAGE_H_
