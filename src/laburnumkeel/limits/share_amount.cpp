#include "laburnumkeel/limits/share_amount.h"

#include <algorithm>

namespace laburnumkeel::limits {

ShareAmount operator+(const ShareAmount& left, const ShareAmount& right) {
  return ShareAmount{left.rate + right.rate, left.burst + right.burst};
}

ShareAmount operator-(const ShareAmount& left, const ShareAmount& right) {
  return ShareAmount{left.rate - right.rate, left.burst - right.burst};
}

ShareAmount Smaller(const ShareAmount& left, const ShareAmount& right) {
  return ShareAmount{std::min(left.rate, right.rate),
                     std::min(left.burst, right.burst)};
}

ShareAmount Larger(const ShareAmount& left, const ShareAmount& right) {
  return ShareAmount{std::max(left.rate, right.rate),
                     std::max(left.burst, right.burst)};
}

ShareAmount NotNegative(const ShareAmount& amount) {
  return Larger(amount, ShareAmount{});
}

bool IsAtMost(const ShareAmount& amount, const ShareAmount& bound) {
  return amount.rate <= bound.rate && amount.burst <= bound.burst;
}

bool IsWithin(const ShareAmount& sum, const ShareAmount& bound) {
  constexpr double kRounding = 1 + 1e-9;
  return sum.rate <= bound.rate * kRounding &&
         sum.burst <= bound.burst * kRounding;
}

bool IsZero(const ShareAmount& amount) { return amount == ShareAmount{}; }

}  // namespace laburnumkeel::limits
