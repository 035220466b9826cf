#include "laburnumkeel/limits/account_usage.h"

namespace laburnumkeel::limits {

LimitDecision AccountUsage::TryTake(kernel::Instant now) {
  this->meter.Count(now);
  if (this->bucket.TryTake(now)) {
    return LimitDecision{true, LimitReason::kWithinShare};
  }
  return LimitDecision{false, this->RefusalReason(now)};
}

void AccountUsage::Apply(const LeasedAmount& dynamic,
                         const LeasedAmount& reserve, kernel::Instant now) {
  this->bucket.Apply(dynamic, reserve, now);
}

LimitReason AccountUsage::RefusalReason(kernel::Instant now) const {
  bool has_share = false;
  for (const LeasedAmount* share :
       {&this->bucket.Dynamic(), &this->bucket.Reserve()}) {
    if (IsZero(share->amount)) {
      continue;
    }
    has_share = true;
    if (now >= share->expiry) {
      return LimitReason::kShareExpired;
    }
  }
  return has_share ? LimitReason::kNoTokens : LimitReason::kNoShare;
}

}  // namespace laburnumkeel::limits
