#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_LEDGER_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_LEDGER_BENCHMARK_H_

namespace laburnumkeel::benchmarks {

// Measures the size of the share ledger's row and the processor time of a
// round.
void MeasureLedger();

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_LEDGER_BENCHMARK_H_
