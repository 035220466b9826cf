#ifndef LABURNUMKEEL_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_
#define LABURNUMKEEL_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace laburnumkeel::load {

// Counts latencies in logarithmic buckets, 8 for each doubling, so that a
// quantile is at most 9% too high. Covers 1 microsecond to over 1 hour.
class LatencyHistogram {
 public:
  void Add(double milliseconds);

  std::uint64_t Count() const { return this->count; }

  // Upper bound of the bucket that holds the quantile (0 to 1), in
  // milliseconds; 0 without samples.
  double Quantile(double quantile) const;

 private:
  static constexpr std::size_t kBucketsForEachDoubling = 8;
  static constexpr std::size_t kBucketCount = 32 * kBucketsForEachDoubling;

  std::array<std::uint64_t, kBucketCount> buckets{};
  std::uint64_t count = 0;
};

}  // namespace laburnumkeel::load

#endif  // LABURNUMKEEL_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_
