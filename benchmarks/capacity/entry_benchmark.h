#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_ENTRY_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_ENTRY_BENCHMARK_H_

#include <string>

namespace laburnumkeel::benchmarks {

// Measures the processes of one VM of a fleet on loopback: idle, with idle
// connections and under load. Returns false when the fleet did not start, a
// connection failed, or a program did not exit with code 0.
bool MeasureEntry(const std::string& binaries, const std::string& logs);

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_ENTRY_BENCHMARK_H_
