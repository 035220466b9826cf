#ifndef LABURNUMKEEL_KERNEL_RUNTIME_CLOCK_H_
#define LABURNUMKEEL_KERNEL_RUNTIME_CLOCK_H_

#include <optional>

#include "laburnumkeel/kernel/boot_clock.h"

namespace laburnumkeel::kernel {

// The clock of a program's event loop. It reads BootClock until a test pauses
// it; from then on the time changes only when the test advances it.
class RuntimeClock {
 public:
  Instant Now() const {
    return this->paused_at ? *this->paused_at : this->clock.Now();
  }

  void Pause() { this->paused_at = this->Now(); }

  // The clock must be paused.
  void Advance(Duration step) { *this->paused_at += step; }

 private:
  BootClock clock;
  std::optional<Instant> paused_at;
};

static_assert(Clock<RuntimeClock>);

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_RUNTIME_CLOCK_H_
