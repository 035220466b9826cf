#include "standins/common/latency_table.h"

#include <charconv>

#include "standins/common/named_values.h"

namespace laburnumkeel::standins {

namespace {

constexpr int kMaximumMilliseconds = 10000;

}  // namespace

std::optional<LatencyTable> LatencyTable::Parse(std::string_view text) {
  const auto parts = ParseNamedValues(text);
  if (!parts.has_value()) {
    return std::nullopt;
  }
  LatencyTable table;
  for (const auto& [data_centre, value] : *parts) {
    int milliseconds = 0;
    const char* const value_end = value.data() + value.size();
    const auto [end, error] =
        std::from_chars(value.data(), value_end, milliseconds);
    if (error != std::errc() || end != value_end || milliseconds < 0 ||
        milliseconds > kMaximumMilliseconds) {
      return std::nullopt;
    }
    table.latencies[data_centre] = std::chrono::milliseconds(milliseconds);
  }
  return table;
}

std::chrono::milliseconds LatencyTable::OneWay(
    const std::string& data_centre) const {
  const auto entry = this->latencies.find(data_centre);
  return entry == this->latencies.end() ? std::chrono::milliseconds(0)
                                        : entry->second;
}

}  // namespace laburnumkeel::standins
