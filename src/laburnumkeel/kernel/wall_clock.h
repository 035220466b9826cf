#ifndef LABURNUMKEEL_KERNEL_WALL_CLOCK_H_
#define LABURNUMKEEL_KERNEL_WALL_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace laburnumkeel::kernel {

// Milliseconds since the Unix epoch, for times that are sent between VMs. The
// wall clocks of VMs may differ, so no lease depends on this value.
inline std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_WALL_CLOCK_H_
