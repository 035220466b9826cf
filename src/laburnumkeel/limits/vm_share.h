#ifndef LABURNUMKEEL_LIMITS_VM_SHARE_H_
#define LABURNUMKEEL_LIMITS_VM_SHARE_H_

#include <chrono>

#include "laburnumkeel/limits/share_amount.h"

namespace laburnumkeel::limits {

// The window in which a rate is enforced. In no window may an account pass more
// than (rate x window + burst) x (1 + overrun) + tolerance operations.
struct RateWindow {
  std::chrono::milliseconds length{5000};
  double overrun = 0;
  double tolerance = 0;

  bool operator==(const RateWindow&) const = default;
};

// The share of one of `vm_count` equal VMs. The shares of all VMs add up to the
// allowance of a window and never to more, whichever VMs can reach each other.
ShareAmount EqualVmShare(double rate_per_second, double burst,
                         const RateWindow& window, int vm_count);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_VM_SHARE_H_
