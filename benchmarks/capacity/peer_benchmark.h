#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_PEER_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_PEER_BENCHMARK_H_

namespace laburnumkeel::benchmarks {

// Measures the messages between control programs, the directory of VMs and the
// selection of watchers.
void MeasurePeer();

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_PEER_BENCHMARK_H_
