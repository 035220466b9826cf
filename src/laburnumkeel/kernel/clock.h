#ifndef LABURNUMKEEL_KERNEL_CLOCK_H_
#define LABURNUMKEEL_KERNEL_CLOCK_H_

#include <chrono>
#include <concepts>

namespace laburnumkeel::kernel {

using Duration = std::chrono::nanoseconds;

// Clock type of `Instant`, so that its values do not mix with those of other
// clocks.
struct BootTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

// A time since boot by CLOCK_BOOTTIME, which includes suspended time. Values of
// different machines cannot be compared.
using Instant = std::chrono::time_point<BootTimeline, Duration>;

// A source of the current time, such as `BootClock`.
template <class Candidate>
concept Clock = requires(const Candidate& clock) {
  { clock.Now() } -> std::same_as<Instant>;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_CLOCK_H_
