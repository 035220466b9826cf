#ifndef LABURNUMKEEL_KERNEL_BOOT_CLOCK_H_
#define LABURNUMKEEL_KERNEL_BOOT_CLOCK_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::kernel {

// Reads CLOCK_BOOTTIME. std::chrono::steady_clock stops while a VM is
// suspended, so a lease measured by it would last beyond its actual expiry.
class BootClock {
 public:
  Instant Now() const;
};

static_assert(Clock<BootClock>);

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_BOOT_CLOCK_H_
