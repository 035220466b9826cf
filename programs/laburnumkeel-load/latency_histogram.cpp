#include "programs/laburnumkeel-load/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace laburnumkeel::load {

namespace {

constexpr double kMicrosecondsInMillisecond = 1000;

}  // namespace

void LatencyHistogram::Add(double milliseconds) {
  const double microseconds =
      std::max(1.0, milliseconds * kMicrosecondsInMillisecond);
  const auto bucket = static_cast<std::size_t>(std::log2(microseconds) *
                                               kBucketsForEachDoubling);
  ++this->buckets[std::min(bucket, kBucketCount - 1)];
  ++this->count;
}

double LatencyHistogram::Quantile(double quantile) const {
  if (this->count == 0) {
    return 0;
  }
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(this->count)));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    seen += this->buckets[bucket];
    if (seen >= std::max<std::uint64_t>(rank, 1)) {
      return std::exp2(static_cast<double>(bucket + 1) /
                       kBucketsForEachDoubling) /
             kMicrosecondsInMillisecond;
    }
  }
  return 0;
}

}  // namespace laburnumkeel::load
