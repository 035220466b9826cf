#include "laburnumkeel/kernel/boot_clock.h"

#include <ctime>

namespace laburnumkeel::kernel {

Instant BootClock::Now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace laburnumkeel::kernel
