#ifndef LABURNUMKEEL_USAGE_WINDOW_CLOCK_H_
#define LABURNUMKEEL_USAGE_WINDOW_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "laburnumkeel/usage/usage_part.h"

namespace laburnumkeel::usage {

// Milliseconds since the start of 1970, in true time.
using UnixMilliseconds = std::int64_t;

// The windows of a length, in true time. `length` is above zero.
class WindowClock {
 public:
  explicit WindowClock(std::chrono::milliseconds length)
      : length_ms(length.count()) {}

  WindowNumber At(UnixMilliseconds time) const {
    const std::int64_t rounded_to_zero = time / this->length_ms;
    return time < rounded_to_zero * this->length_ms ? rounded_to_zero - 1
                                                    : rounded_to_zero;
  }
  UnixMilliseconds StartOf(WindowNumber window) const {
    return window * this->length_ms;
  }
  UnixMilliseconds EndOf(WindowNumber window) const {
    return this->StartOf(window + 1);
  }

 private:
  std::int64_t length_ms;
};

}  // namespace laburnumkeel::usage

#endif  // LABURNUMKEEL_USAGE_WINDOW_CLOCK_H_
