#include "benchmarks/capacity/thread_time.h"

#include <ctime>

namespace laburnumkeel::benchmarks {

double ThreadMicroseconds() {
  constexpr double kMicrosecondsInSecond = 1e6;
  constexpr double kNanosecondsInMicrosecond = 1e3;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosecondsInSecond +
         static_cast<double>(time.tv_nsec) / kNanosecondsInMicrosecond;
}

}  // namespace laburnumkeel::benchmarks
