#ifndef LABURNUMKEEL_LIMITS_TOKEN_BUCKET_H_
#define LABURNUMKEEL_LIMITS_TOKEN_BUCKET_H_

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_amount.h"

namespace laburnumkeel::limits {

// An amount that may be used until `expiry`.
struct LeasedAmount {
  ShareAmount amount;
  kernel::Instant expiry;

  bool operator==(const LeasedAmount&) const = default;
};

// Tokens of an account on one VM. Rate and capacity are the sums of those of
// the dynamic and the reserve share that have not expired. Both shares use one
// bucket: with a bucket for each, the smaller one overflows while a request
// waits for the other, and a small burst gives neither a whole token.
//
// Has no shares at first. Not thread-safe.
class TokenBucket {
 public:
  TokenBucket() = default;

  // A bucket that holds `tokens` at `as_of`.
  TokenBucket(double tokens, kernel::Instant as_of)
      : refilled_at(as_of), tokens(tokens) {}
  // Replaces both shares. Tokens above a lower capacity are discarded, and
  // additional capacity starts empty.
  void Apply(const LeasedAmount& new_dynamic, const LeasedAmount& new_reserve,
             kernel::Instant now);

  // Removes one token. False when there is none.
  bool TryTake(kernel::Instant now);

  // Tokens at `now`.
  double Available(kernel::Instant now);

  // Tokens a second that are added at `now`.
  double Rate(kernel::Instant now) const { return this->ValidAt(now).rate; }

  const LeasedAmount& Dynamic() const { return this->dynamic; }
  const LeasedAmount& Reserve() const { return this->reserve; }

 private:
  void Refill(kernel::Instant now);
  void RefillUntil(kernel::Instant end);
  // Sum of the shares that are valid at `instant`.
  ShareAmount ValidAt(kernel::Instant instant) const;

  LeasedAmount dynamic;
  LeasedAmount reserve;
  kernel::Instant refilled_at;
  double tokens = 0;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_TOKEN_BUCKET_H_
