#include "laburnumkeel/limits/token_bucket.h"

#include <algorithm>

namespace laburnumkeel::limits {

namespace {

// The sum of two capacities that were split from one token may be a rounding
// error below it.
constexpr double kOneToken = 1 - 1e-9;

}  // namespace

void TokenBucket::Apply(const LeasedAmount& new_dynamic,
                        const LeasedAmount& new_reserve, kernel::Instant now) {
  // Tokens up to now are credited at the rate of the old shares. No tokens are
  // credited for the time after the old shares expired, because another VM may
  // have used those shares since.
  this->Refill(now);
  this->dynamic = new_dynamic;
  this->reserve = new_reserve;
  this->tokens = std::min(this->tokens, this->ValidAt(now).burst);
}

bool TokenBucket::TryTake(kernel::Instant now) {
  this->Refill(now);
  if (this->tokens < kOneToken) {
    return false;
  }
  this->tokens = std::max(0.0, this->tokens - 1);
  return true;
}

double TokenBucket::Available(kernel::Instant now) {
  this->Refill(now);
  return this->tokens;
}

void TokenBucket::Refill(kernel::Instant now) {
  if (now <= this->refilled_at) {
    return;
  }
  // Rate and capacity are constant between two expiries.
  const kernel::Instant first =
      std::min(this->dynamic.expiry, this->reserve.expiry);
  const kernel::Instant second =
      std::max(this->dynamic.expiry, this->reserve.expiry);
  for (const kernel::Instant end :
       {std::min(first, now), std::min(second, now), now}) {
    this->RefillUntil(end);
  }
  this->tokens = std::min(this->tokens, this->ValidAt(now).burst);
}

void TokenBucket::RefillUntil(kernel::Instant end) {
  if (end <= this->refilled_at) {
    return;
  }
  const ShareAmount valid = this->ValidAt(this->refilled_at);
  const std::chrono::duration<double> elapsed = end - this->refilled_at;
  this->tokens =
      std::min(valid.burst, this->tokens + valid.rate * elapsed.count());
  this->refilled_at = end;
}

ShareAmount TokenBucket::ValidAt(kernel::Instant instant) const {
  ShareAmount valid;
  for (const LeasedAmount* share : {&this->dynamic, &this->reserve}) {
    if (instant < share->expiry) {
      valid = valid + share->amount;
    }
  }
  return valid;
}

}  // namespace laburnumkeel::limits
