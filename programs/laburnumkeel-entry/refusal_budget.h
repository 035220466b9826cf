#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_REFUSAL_BUDGET_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_REFUSAL_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>

#include "laburnumkeel/kernel/boot_clock.h"

namespace laburnumkeel::entry {

// Decides which refusals are written to the log, so that callers who are
// refused cannot fill it. Thread-safe.
template <kernel::Clock ClockType = kernel::BootClock>
class RefusalBudget {
 public:
  static constexpr std::uint64_t kLinesEachSecond = 40;

  explicit RefusalBudget(ClockType clock = ClockType())
      : clock(std::move(clock)) {}

  // Returns how many refusals were left out since the last line if this one may
  // be written, and empty otherwise.
  std::optional<std::uint64_t> Take() {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->clock.Now();
    if (now - this->started_at >= std::chrono::seconds(1)) {
      this->started_at = now;
      this->written = 0;
    }
    if (this->written == kLinesEachSecond) {
      ++this->omitted;
      return std::nullopt;
    }
    ++this->written;
    return std::exchange(this->omitted, 0);
  }

 private:
  const ClockType clock;
  std::mutex mutex;
  kernel::Instant started_at{};
  std::uint64_t written = 0;
  std::uint64_t omitted = 0;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_REFUSAL_BUDGET_H_
