#include "programs/laburnumkeel-proxy/usage_row.h"

#include <nlohmann/json.hpp>

namespace laburnumkeel::proxy {

namespace {

using nlohmann::json;

// Windows of a tenth of a second reach this number in the year 5138.
constexpr usage::WindowNumber kMaximumWindow = 1'000'000'000'000;

}  // namespace

std::string EncodeUsage(const usage::UsageRecord& record) {
  json windows = json::array();
  for (const auto& [window, counts] : record.unacknowledged) {
    windows.push_back({{"window", window}, {"counts", counts}});
  }
  return json({{"settled_through", record.settled_through},
               {"unacknowledged", windows},
               {"store_era", record.store_era}})
      .dump();
}

std::optional<usage::UsageRecord> DecodeUsage(std::string_view value) {
  try {
    const json document = json::parse(value);
    usage::UsageRecord record;
    record.settled_through =
        document.at("settled_through").get<usage::WindowNumber>();
    if (record.settled_through < 0 || record.settled_through > kMaximumWindow) {
      return std::nullopt;
    }
    record.store_era = document.at("store_era").get<std::uint64_t>();
    for (const json& entry : document.at("unacknowledged")) {
      const auto window = entry.at("window").get<usage::WindowNumber>();
      if (window < 0 || window > record.settled_through) {
        return std::nullopt;
      }
      for (const auto& [account, count] : entry.at("counts").items()) {
        if (!count.is_number_unsigned()) {
          return std::nullopt;
        }
        record.unacknowledged[window][account] = count.get<std::uint64_t>();
      }
      // A window without counts is reported too.
      record.unacknowledged.try_emplace(window);
    }
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace laburnumkeel::proxy
