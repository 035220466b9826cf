#ifndef LABURNUMKEEL_KERNEL_METRICS_H_
#define LABURNUMKEEL_KERNEL_METRICS_H_

// Boost.Accumulators 1.81 uses std::ostringstream without including it, so
// <sstream> has to come first.
// clang-format off
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace laburnumkeel::kernel {

// The counters and distributions of a process, formatted as text for
// `/metrics`. Thread-safe.
class Metrics {
 public:
  // Adds to a counter, which starts at 0 when first used.
  void Count(const std::string& name, std::uint64_t amount = 1);

  // Adds a sample to a distribution. The name ends in the unit, such as `_ms`.
  void Observe(const std::string& name, double sample);

  // The value of a counter; 0 when it was never used.
  std::uint64_t Counter(const std::string& name) const;

  // One line `name value` for each counter and for the count, mean, maximum,
  // 50% and 99% quantile of each distribution.
  std::string Text() const;

 private:
  using Distribution = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square_quantile>>;

  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, Distribution> distributions;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_METRICS_H_
