#include "laburnumkeel/kernel/metrics.h"

#include <array>

namespace laburnumkeel::kernel {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array kQuantiles{0.5, 0.9, 0.99};

}  // namespace

void Metrics::Count(const std::string& name, std::uint64_t amount) {
  const std::lock_guard lock(this->mutex);
  this->counters[name] += amount;
}

void Metrics::Observe(const std::string& name, double sample) {
  const std::lock_guard lock(this->mutex);
  auto [entry, added] = this->distributions.try_emplace(
      name, accumulators::extended_p_square_probabilities = kQuantiles);
  entry->second(sample);
}

std::uint64_t Metrics::Counter(const std::string& name) const {
  const std::lock_guard lock(this->mutex);
  const auto entry = this->counters.find(name);
  return entry == this->counters.end() ? 0 : entry->second;
}

std::string Metrics::Text() const {
  const std::lock_guard lock(this->mutex);
  std::ostringstream text;
  for (const auto& [name, value] : this->counters) {
    text << name << ' ' << value << '\n';
  }
  for (const auto& [name, distribution] : this->distributions) {
    text << name << "_count " << accumulators::count(distribution) << '\n'
         << name << "_mean " << accumulators::mean(distribution) << '\n'
         << name << "_max " << accumulators::max(distribution) << '\n'
         << name << "_p50 "
         << accumulators::quantile(
                distribution,
                accumulators::quantile_probability = kQuantiles[0])
         << '\n'
         << name << "_p99 "
         << accumulators::quantile(
                distribution,
                accumulators::quantile_probability = kQuantiles[2])
         << '\n';
  }
  return text.str();
}

}  // namespace laburnumkeel::kernel
