#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_PEER_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_PEER_BENCHMARK_H_

namespace laburnumkeel::benchmarks {

// Messages between control programs, directory of VMs and watcher selection.
void MeasurePeer();

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_PEER_BENCHMARK_H_
