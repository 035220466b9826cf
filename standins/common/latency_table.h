#ifndef LABURNUMKEEL_STANDINS_COMMON_LATENCY_TABLE_H_
#define LABURNUMKEEL_STANDINS_COMMON_LATENCY_TABLE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumkeel::standins {

// One-way latency to callers of each data centre.
class LatencyTable {
 public:
  // Reads `dc1=0,dc2=8` (milliseconds, at most 10,000). Empty when malformed.
  static std::optional<LatencyTable> Parse(std::string_view text);

  // 0 for a data centre that is not listed.
  std::chrono::milliseconds OneWay(const std::string& data_centre) const;

 private:
  std::map<std::string, std::chrono::milliseconds> latencies;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_LATENCY_TABLE_H_
