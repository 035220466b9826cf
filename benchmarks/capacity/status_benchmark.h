#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_STATUS_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_STATUS_BENCHMARK_H_

namespace laburnumkeel::benchmarks {

// Measures the handling of endpoint statuses, routing decisions and write
// confirmation.
void MeasureStatus();

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_STATUS_BENCHMARK_H_
