#ifndef LABURNUMKEEL_TESTS_SUPPORT_MANUAL_CLOCK_H_
#define LABURNUMKEEL_TESTS_SUPPORT_MANUAL_CLOCK_H_

#include <memory>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::testing {

// Clock that stands still until a test advances it. Copies share the time.
class ManualClock {
 public:
  kernel::Instant Now() const { return *this->now; }
  void Advance(kernel::Duration step) { *this->now += step; }

 private:
  std::shared_ptr<kernel::Instant> now =
      std::make_shared<kernel::Instant>(kernel::Instant(std::chrono::hours(1)));
};

static_assert(kernel::Clock<ManualClock>);

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_MANUAL_CLOCK_H_
