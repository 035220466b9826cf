#include "programs/laburnumkeel-admin/request_fields.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>

namespace laburnumkeel::admin {

kernel::Result<std::optional<std::uint64_t>, AdminError> BaseVersion(
    const transport::HttpRequest& request) {
  const std::string text = request.Parameter("base_version");
  if (text.empty()) {
    return std::optional<std::uint64_t>();
  }
  std::uint64_t version = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return BadRequest("base_version: value '" + text +
                      "', allowed a whole number from 0");
  }
  return std::optional<std::uint64_t>(version);
}

kernel::Result<model::Availability, AdminError> RequestedState(
    const transport::HttpRequest& request) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (body == nlohmann::json{{"state", "in"}}) {
    return model::Availability::kIn;
  }
  if (body == nlohmann::json{{"state", "out"}}) {
    return model::Availability::kOut;
  }
  return BadRequest(R"(body: allowed {"state":"in"} or {"state":"out"})");
}

kernel::Result<AccountLimits, AdminError> RequestedLimits(
    const transport::HttpRequest& request) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  AccountLimits limits;
  bool valid = body.is_object() && !body.empty();
  if (valid) {
    for (const auto& [name, value] : body.items()) {
      if (name == "rate" && value.is_number()) {
        limits.rate = value.get<double>();
      } else if (name == "burst" && value.is_number()) {
        limits.burst = value.get<double>();
      } else {
        valid = false;
      }
    }
  }
  if (!valid) {
    return BadRequest(
        R"(body: allowed {"rate":R,"burst":B} with numbers, one may be absent)");
  }
  return limits;
}

}  // namespace laburnumkeel::admin
