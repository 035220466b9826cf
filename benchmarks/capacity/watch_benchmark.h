#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_WATCH_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_WATCH_BENCHMARK_H_

#include "standins/standin-fleet/deployment.h"

namespace laburnumkeel::benchmarks {

// Measures the cost of watching endpoints over HTTP with endpoint monitors in
// this process. The endpoints of `deployment` must be running.
void MeasureWatches(const standin::Deployment& deployment);

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_WATCH_BENCHMARK_H_
