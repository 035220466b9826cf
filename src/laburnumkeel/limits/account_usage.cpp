#include "laburnumkeel/limits/account_usage.h"

#include <algorithm>

namespace laburnumkeel::limits {

namespace {

constexpr double kRounding = 1e-9;
// Maximum number of requests of an account that may wait on one VM although the
// current share is too small for them, because the share is expected to grow.
constexpr std::int64_t kMaximumWaitingForShare = 16;
// Maximum time in which the current share must be able to serve the queue.
constexpr kernel::Duration kMaximumQueueTime = std::chrono::seconds(1);
// Fraction of the waiting requests that should be served each second.
constexpr double kBacklogPerSecond = 1;
constexpr kernel::Duration kMinimumRetryDelay = std::chrono::milliseconds(1);
// Bounds the time after which waiting requests use a share that has grown.
constexpr kernel::Duration kMaximumRetryDelay = std::chrono::milliseconds(100);

}  // namespace

LimitDecision AccountUsage::TryTake(kernel::Instant now) {
  this->meter.Count(now);
  const double needed = 1 + static_cast<double>(this->waiting);
  if (this->bucket.Available(now) >= needed - kRounding &&
      this->bucket.TryTake(now)) {
    return LimitDecision{true, LimitReason::kWithinShare};
  }
  return LimitDecision{false, this->RefusalReason(now)};
}

LimitDecision AccountUsage::TakeOrWait(kernel::Instant now) {
  const LimitDecision decision = this->TryTake(now);
  if (decision.is_allowed) {
    return decision;
  }
  const kernel::Duration expected =
      this->TimeUntil(1 + static_cast<double>(this->waiting), now);
  if (expected >= kMaximumQueueTime &&
      this->waiting >= kMaximumWaitingForShare) {
    return decision;
  }
  this->waiting += 1;
  return LimitDecision{
      false, decision.reason,
      std::clamp(expected, kMinimumRetryDelay, kMaximumRetryDelay)};
}

LimitDecision AccountUsage::Retry(kernel::Duration waited,
                                  kernel::Instant now) {
  if (this->bucket.TryTake(now)) {
    this->waiting -= 1;
    return LimitDecision{true, LimitReason::kWithinShare};
  }
  const LimitReason reason = this->RefusalReason(now);
  if (waited >= kMaximumWait) {
    this->waiting -= 1;
    return LimitDecision{false, reason};
  }
  return LimitDecision{false, reason,
                       std::clamp(this->TimeUntil(1, now), kMinimumRetryDelay,
                                  kMaximumRetryDelay)};
}

double AccountUsage::Demand(kernel::Instant now) const {
  return this->meter.PerSecond(now) +
         static_cast<double>(this->waiting) * kBacklogPerSecond;
}

kernel::Duration AccountUsage::TimeUntil(double tokens, kernel::Instant now) {
  const double missing = tokens - this->bucket.Available(now);
  const double rate = this->bucket.Rate(now);
  const std::chrono::duration<double> limit = kMaximumWait;
  const std::chrono::duration<double> time(
      rate > 0 ? std::min(missing / rate, limit.count()) : limit.count());
  return std::chrono::duration_cast<kernel::Duration>(time);
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
