#ifndef LABURNUMKEEL_LIMITS_SHARE_AMOUNT_H_
#define LABURNUMKEEL_LIMITS_SHARE_AMOUNT_H_

namespace laburnumkeel::limits {

// A part of an account's limit.
struct ShareAmount {
  // Requests a second.
  double rate = 0;
  // Requests that may pass at once.
  double burst = 0;

  bool operator==(const ShareAmount&) const = default;
};

ShareAmount operator+(const ShareAmount& left, const ShareAmount& right);
ShareAmount operator-(const ShareAmount& left, const ShareAmount& right);

// Rate and burst are compared separately in all functions below.
ShareAmount Smaller(const ShareAmount& left, const ShareAmount& right);
ShareAmount Larger(const ShareAmount& left, const ShareAmount& right);
// Negative parts become 0.
ShareAmount NotNegative(const ShareAmount& amount);
bool IsAtMost(const ShareAmount& amount, const ShareAmount& bound);
// As IsAtMost, but allows for rounding errors of 1e-9 of the bound, which arise
// when parts of a limit are added up.
bool IsWithin(const ShareAmount& sum, const ShareAmount& bound);
bool IsZero(const ShareAmount& amount);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_AMOUNT_H_
