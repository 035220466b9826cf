#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_BUCKETS_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_BUCKETS_H_

#include "laburnumkeel/limits/demand_meter.h"
#include "laburnumkeel/limits/limit_decision.h"
#include "laburnumkeel/limits/share.h"
#include "laburnumkeel/limits/token_bucket.h"

namespace laburnumkeel::limits {

// Buckets and demand of one account on one VM. Not thread-safe.
class AccountBuckets {
 public:
  // Counts the request and takes one token. Both buckets together pay for it,
  // because each may hold less than one token when the burst is small.
  LimitDecision TryTake(kernel::Instant now);

  void Apply(const Share& share, kernel::Instant now);
  // Removes the share of this kind with its tokens.
  void Remove(ShareKind kind, kernel::Instant now);

  double Demand(kernel::Instant now) const {
    return this->meter.PerSecond(now);
  }

 private:
  TokenBucket& Bucket(ShareKind kind);
  LimitReason RefusalReason(kernel::Instant now) const;

  TokenBucket dynamic;
  TokenBucket reserve;
  DemandMeter meter;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_BUCKETS_H_
