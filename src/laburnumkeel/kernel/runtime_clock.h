#ifndef LABURNUMKEEL_KERNEL_RUNTIME_CLOCK_H_
#define LABURNUMKEEL_KERNEL_RUNTIME_CLOCK_H_

#include <cstdint>
#include <optional>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "laburnumkeel/kernel/wall_clock.h"

namespace laburnumkeel::kernel {

// The clock of a program's event loop. It reads BootClock until a test pauses
// it; from then on the time changes only when the test advances it.
class RuntimeClock {
 public:
  Instant Now() const {
    return this->paused_at ? *this->paused_at : this->clock.Now();
  }

  // The time of day, in milliseconds since the start of 1970. It may differ
  // between VMs, and may jump.
  std::int64_t UnixMilliseconds() const {
    return this->paused_unix_ms
               ? *this->paused_unix_ms +
                     ToMilliseconds(*this->paused_at - this->paused_since)
               : kernel::UnixMilliseconds();
  }

  void Pause() {
    this->paused_unix_ms = this->UnixMilliseconds();
    this->paused_at = this->Now();
    this->paused_since = *this->paused_at;
  }

  // The clock must be paused.
  void Advance(Duration step) { *this->paused_at += step; }

  // The time of day jumps; the clock must be paused.
  void Jump(std::int64_t step_ms) { *this->paused_unix_ms += step_ms; }

 private:
  BootClock clock;
  std::optional<Instant> paused_at;
  std::optional<std::int64_t> paused_unix_ms;
  Instant paused_since;
};

static_assert(Clock<RuntimeClock>);

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_RUNTIME_CLOCK_H_
