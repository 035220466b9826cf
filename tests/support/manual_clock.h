#ifndef LABURNUMKEEL_TESTS_SUPPORT_MANUAL_CLOCK_H_
#define LABURNUMKEEL_TESTS_SUPPORT_MANUAL_CLOCK_H_

#include <atomic>
#include <memory>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::testing {

// Clock that advances only when a test advances it. Copies share the time.
// Thread-safe.
class ManualClock {
 public:
  kernel::Instant Now() const {
    return kernel::Instant(kernel::Duration(this->now->load()));
  }
  void Advance(kernel::Duration step) { *this->now += step.count(); }

 private:
  std::shared_ptr<std::atomic<kernel::Duration::rep>> now =
      std::make_shared<std::atomic<kernel::Duration::rep>>(
          kernel::Duration(std::chrono::hours(1)).count());
};

static_assert(kernel::Clock<ManualClock>);

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_MANUAL_CLOCK_H_
