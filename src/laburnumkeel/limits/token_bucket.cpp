#include "laburnumkeel/limits/token_bucket.h"

#include <algorithm>

namespace laburnumkeel::limits {

void TokenBucket::Apply(const ShareAmount& new_amount,
                        kernel::Instant new_expiry, kernel::Instant now) {
  // The time up to now is credited at the old rate, and not at all if the old
  // share expired in between: another VM may have used it since.
  this->Refill(now);
  this->amount = new_amount;
  this->expiry = new_expiry;
  this->tokens = std::min(this->tokens, new_amount.burst);
}

double TokenBucket::Available(kernel::Instant now) {
  this->Refill(now);
  return this->tokens;
}

double TokenBucket::Take(double tokens, kernel::Instant now) {
  this->Refill(now);
  const double taken = std::min(tokens, this->tokens);
  this->tokens -= taken;
  return taken;
}

void TokenBucket::Refill(kernel::Instant now) {
  if (this->IsExpired(now)) {
    this->tokens = 0;
    this->refilled_at = now;
    return;
  }
  if (now <= this->refilled_at) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - this->refilled_at;
  this->tokens = std::min(this->amount.burst,
                          this->tokens + this->amount.rate * elapsed.count());
  this->refilled_at = now;
}

}  // namespace laburnumkeel::limits
