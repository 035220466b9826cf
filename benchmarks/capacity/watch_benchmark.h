#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_WATCH_BENCHMARK_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_WATCH_BENCHMARK_H_

#include "standins/standin-fleet/deployment.h"

namespace laburnumkeel::benchmarks {

// What a process pays for watching endpoints over HTTP: monitors of the
// deployment's endpoints, which have to run, in this process.
void MeasureWatches(const standin::Deployment& deployment);

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_WATCH_BENCHMARK_H_
