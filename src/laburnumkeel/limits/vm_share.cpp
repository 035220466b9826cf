#include "laburnumkeel/limits/vm_share.h"

#include <algorithm>

namespace laburnumkeel::limits {

namespace {

// Fraction of the tolerance that is used. The rest covers statements that are
// admitted in one window and reach their endpoint in the next.
constexpr double kUsedTolerance = 0.7;

}  // namespace

ShareAmount EqualVmShare(double rate_per_second, double burst,
                         const RateWindow& window, int vm_count) {
  const double seconds = std::chrono::duration<double>(window.length).count();
  const double nominal = rate_per_second * seconds + burst;
  const double extra =
      nominal * window.overrun + window.tolerance * kUsedTolerance;
  const double vms = std::max(vm_count, 1);
  return {rate_per_second / vms, (burst + extra) / vms};
}

}  // namespace laburnumkeel::limits
