#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_CONFIGURATION_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_CONFIGURATION_BENCHMARK_H_

namespace laburnumkeel::benchmarks {

// Configuration document, its copy in memory and key look-up.
void MeasureConfiguration();

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_CONFIGURATION_BENCHMARK_H_
