#ifndef LABURNUMKEEL_KERNEL_CLOCK_H_
#define LABURNUMKEEL_KERNEL_CLOCK_H_

#include <chrono>
#include <concepts>

namespace laburnumkeel::kernel {

using Duration = std::chrono::nanoseconds;

// Tag of the time line of CLOCK_BOOTTIME.
struct BootTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

// A point in time since boot, suspended time included. Points of different
// machines cannot be compared.
using Instant = std::chrono::time_point<BootTimeline, Duration>;

// Source of the current time of this process.
template <class Candidate>
concept Clock = requires(const Candidate& clock) {
  { clock.Now() } -> std::same_as<Instant>;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_CLOCK_H_
