#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_THREAD_TIME_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_THREAD_TIME_H_

#include <algorithm>
#include <concepts>
#include <vector>

namespace laburnumkeel::benchmarks {

// Processor time of the calling thread in microseconds. Unlike elapsed time, it
// excludes time in which other programs run.
double ThreadMicroseconds();

// Median processor time of one call in microseconds over `batches` batches of
// `calls` calls each. The median ignores outliers, such as batches that were
// interrupted.
template <std::invocable Function>
double MedianMicroseconds(int batches, int calls, Function function) {
  std::vector<double> times;
  for (int batch = 0; batch < batches; ++batch) {
    const double start = ThreadMicroseconds();
    for (int call = 0; call < calls; ++call) {
      function();
    }
    times.push_back((ThreadMicroseconds() - start) / calls);
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

// Keeps the compiler from removing the computation of `value`.
template <class Value>
void Keep(const Value& value) {
  asm volatile("" : : "g"(&value) : "memory");
}

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_THREAD_TIME_H_
