#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_CONFIGURATION_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_CONFIGURATION_BENCHMARK_H_

namespace laburnumkeel::benchmarks {

// Measures the size and decoding time of the configuration document, the memory
// of the decoded copy with its key index, and key look-up.
void MeasureConfiguration();

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_CONFIGURATION_BENCHMARK_H_
