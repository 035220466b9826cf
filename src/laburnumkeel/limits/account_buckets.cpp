#include "laburnumkeel/limits/account_buckets.h"

namespace laburnumkeel::limits {

namespace {

// The sum of two capacities that were split from one token may be a rounding
// error below it.
constexpr double kOneToken = 1 - 1e-9;

}  // namespace

LimitDecision AccountBuckets::TryTake(kernel::Instant now) {
  this->meter.Count(now);
  if (this->dynamic.Available(now) + this->reserve.Available(now) < kOneToken) {
    return LimitDecision{false, this->RefusalReason(now)};
  }
  const double taken = this->dynamic.Take(1, now);
  this->reserve.Take(1 - taken, now);
  return LimitDecision{true, LimitReason::kWithinShare};
}

void AccountBuckets::Apply(const Share& share, kernel::Instant now) {
  this->Bucket(share.kind).Apply(share.amount, share.expiry, now);
}

void AccountBuckets::Remove(ShareKind kind, kernel::Instant now) {
  this->Bucket(kind).Apply(ShareAmount{}, kernel::Instant{}, now);
}

TokenBucket& AccountBuckets::Bucket(ShareKind kind) {
  return kind == ShareKind::kDynamic ? this->dynamic : this->reserve;
}

LimitReason AccountBuckets::RefusalReason(kernel::Instant now) const {
  if (IsZero(this->dynamic.Amount()) && IsZero(this->reserve.Amount())) {
    return LimitReason::kNoShare;
  }
  const bool dynamic_expired =
      this->dynamic.IsExpired(now) && !IsZero(this->dynamic.Amount());
  const bool reserve_expired =
      this->reserve.IsExpired(now) && !IsZero(this->reserve.Amount());
  return dynamic_expired || reserve_expired ? LimitReason::kShareExpired
                                            : LimitReason::kNoTokens;
}

}  // namespace laburnumkeel::limits
