#ifndef LABURNUMKEEL_KERNEL_MILLISECONDS_H_
#define LABURNUMKEEL_KERNEL_MILLISECONDS_H_

#include <chrono>
#include <cstdint>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::kernel {

// Whole milliseconds, rounded toward zero, for messages and log lines.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_MILLISECONDS_H_
