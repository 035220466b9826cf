#ifndef LABURNUMKEEL_TESTS_SUPPORT_WAIT_UNTIL_H_
#define LABURNUMKEEL_TESTS_SUPPORT_WAIT_UNTIL_H_

#include <chrono>
#include <thread>

namespace laburnumkeel::testing {

// Polls `condition` until other threads make it true. Returns false when it
// does not hold within 5 s.
template <class Condition>
bool WaitUntil(const Condition& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_WAIT_UNTIL_H_
