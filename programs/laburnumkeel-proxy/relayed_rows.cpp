#include "programs/laburnumkeel-proxy/relayed_rows.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

namespace laburnumkeel::proxy {

namespace {

using nlohmann::json;

constexpr std::string_view kTargetPrefix = "/rows/";

}  // namespace

std::string EncodeTarget(const RelayRequest& request) {
  return std::string(kTargetPrefix) + request.table + "/" +
         std::to_string(request.version);
}

std::optional<RelayRequest> DecodeTarget(std::string_view target) {
  if (!target.starts_with(kTargetPrefix)) {
    return std::nullopt;
  }
  target.remove_prefix(kTargetPrefix.size());
  const std::size_t slash = target.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  RelayRequest request;
  request.table = target.substr(0, slash);
  target.remove_prefix(slash + 1);
  const char* end = target.data() + target.size();
  const auto parsed = std::from_chars(target.data(), end, request.version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return request;
}

std::string EncodeRelayed(const RelayedRows& rows) {
  json document = {{"version", rows.version},
                   {"age_us", rows.age.count()},
                   {"rows", json::array()}};
  for (const platform_adapter::StoreRow& row : rows.rows) {
    std::vector<std::uint8_t> value(row.value.begin(), row.value.end());
    document["rows"].push_back(
        {row.key, row.version, json::binary(std::move(value))});
  }
  std::string body;
  json::to_msgpack(document, body);
  return body;
}

std::optional<RelayedRows> DecodeRelayed(std::string_view body) {
  try {
    const json document = json::from_msgpack(body);
    RelayedRows decoded;
    decoded.version = document.at("version").get<std::uint64_t>();
    decoded.age =
        std::chrono::microseconds(document.at("age_us").get<std::int64_t>());
    for (const json& entry : document.at("rows")) {
      platform_adapter::StoreRow row;
      row.key = entry.at(0).get<std::string>();
      row.version = entry.at(1).get<std::uint64_t>();
      const json::binary_t& value = entry.at(2).get_binary();
      row.value.assign(value.begin(), value.end());
      decoded.rows.push_back(std::move(row));
    }
    if (decoded.age < std::chrono::microseconds(0)) {
      return std::nullopt;
    }
    return decoded;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace laburnumkeel::proxy
