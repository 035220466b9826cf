#ifndef LABURNUMKEEL_LIMITS_TOKEN_BUCKET_H_
#define LABURNUMKEEL_LIMITS_TOKEN_BUCKET_H_

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_amount.h"

namespace laburnumkeel::limits {

// Tokens of one share. Starts empty and without a share. Not thread-safe.
class TokenBucket {
 public:
  // Replaces the share. Tokens above a lower capacity are discarded, and
  // additional capacity starts empty. After an expired share the bucket is
  // empty.
  void Apply(const ShareAmount& new_amount, kernel::Instant new_expiry,
             kernel::Instant now);

  // Tokens at `now`; 0 once the share has expired.
  double Available(kernel::Instant now);

  // Removes up to `tokens` and returns how many were removed.
  double Take(double tokens, kernel::Instant now);

  bool IsExpired(kernel::Instant now) const { return now >= this->expiry; }
  const ShareAmount& Amount() const { return this->amount; }

 private:
  void Refill(kernel::Instant now);

  ShareAmount amount;
  kernel::Instant expiry;
  kernel::Instant refilled_at;
  double tokens = 0;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_TOKEN_BUCKET_H_
