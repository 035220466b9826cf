#include "laburnumkeel/limits/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace laburnumkeel::limits {

namespace {

// Time constants of the exponential averages, in seconds.
constexpr double kFastSeconds = 0.5;
constexpr double kSlowSeconds = 2;
// Differences of a few requests a second in the fast average are noise.
constexpr double kNoisePerSecond = 4;

// Highest demand that is likely when the fast average is `fast`. For random
// arrivals, the standard deviation of the fast average is about its square
// root.
double LikelyMaximum(double fast) {
  return fast + std::sqrt(fast) + kNoisePerSecond;
}

}  // namespace

void DemandMeter::Count(kernel::Instant now) {
  const double elapsed = this->SecondsSince(now);
  this->fast =
      this->fast * std::exp(-elapsed / kFastSeconds) + 1 / kFastSeconds;
  this->slow =
      this->slow * std::exp(-elapsed / kSlowSeconds) + 1 / kSlowSeconds;
  this->counted_at = std::max(this->counted_at, now);
}

double DemandMeter::PerSecond(kernel::Instant now) const {
  const double elapsed = this->SecondsSince(now);
  const double fast_now = this->fast * std::exp(-elapsed / kFastSeconds);
  const double slow_now = this->slow * std::exp(-elapsed / kSlowSeconds);
  return std::max(fast_now - kNoisePerSecond,
                  std::min(slow_now, LikelyMaximum(fast_now)));
}

double DemandMeter::SecondsSince(kernel::Instant now) const {
  const std::chrono::duration<double> elapsed = now - this->counted_at;
  return std::max(0.0, elapsed.count());
}

}  // namespace laburnumkeel::limits
