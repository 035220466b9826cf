#include "programs/laburnumkeel-entry/caller_request.h"

#include <nlohmann/json.hpp>

#include "laburnumkeel/kernel/random_identifier.h"

namespace laburnumkeel::entry {

namespace {

using nlohmann::json;

constexpr std::size_t kMaximumIdentifierLength = 128;
// Requests have six different fields.
constexpr std::size_t kMaximumFields = 32;
constexpr std::int64_t kMaximumStalenessMs = std::int64_t{24} * 3600 * 1000;

CallerError BadRequest(std::string message) {
  return CallerError{400, "bad_request", std::move(message),
                     model::Outcome::kNotRun};
}

// Reads one field into the request and returns the error, if any.
std::optional<std::string> ReadField(const std::string& name, const json& value,
                                     CallerRequest& request) {
  const auto read_text =
      [&](std::string& target,
          std::size_t maximum) -> std::optional<std::string> {
    if (!value.is_string()) {
      return "field '" + name + "' has to be a string";
    }
    target = value.get<std::string>();
    if (target.size() > maximum) {
      return "field '" + name + "' has more than " + std::to_string(maximum) +
             " characters";
    }
    return std::nullopt;
  };
  if (name == "group") {
    return read_text(request.group, kMaximumIdentifierLength);
  }
  if (name == "statement") {
    return read_text(request.statement, std::string::npos);
  }
  if (name == "request_id") {
    return read_text(request.request_id, kMaximumIdentifierLength);
  }
  if (name == "idempotency_id") {
    return read_text(request.idempotency_id.emplace(),
                     kMaximumIdentifierLength);
  }
  if (name == "repeatable") {
    if (!value.is_boolean()) {
      return "field 'repeatable' has to be true or false";
    }
    request.repeatable = value.get<bool>();
    return std::nullopt;
  }
  if (name == "max_staleness_ms") {
    if (!value.is_number_integer() || value.get<std::int64_t>() < 0 ||
        value.get<std::int64_t>() > kMaximumStalenessMs) {
      return "field 'max_staleness_ms' has to be an integer from 0 to " +
             std::to_string(kMaximumStalenessMs);
    }
    request.max_staleness_ms = value.get<std::int64_t>();
    return std::nullopt;
  }
  return "unknown field '" + name.substr(0, kMaximumIdentifierLength) + "'";
}

}  // namespace

kernel::Result<CallerRequest, CallerError> ParseCallerRequest(
    std::string_view body) {
  // Nested values and many fields would take a multiple of the body's memory.
  bool is_refused = false;
  std::size_t fields = 0;
  const auto keep = [&](int depth, json::parse_event_t event, json& /*value*/) {
    const bool is_start = event == json::parse_event_t::object_start ||
                          event == json::parse_event_t::array_start;
    fields += event == json::parse_event_t::key ? 1 : 0;
    is_refused =
        is_refused || (is_start && depth > 0) || fields > kMaximumFields;
    return !is_refused;
  };
  const json document =
      body.empty() ? json::object() : json::parse(body, keep, false);
  if (is_refused) {
    return BadRequest("the body is not a JSON object of at most " +
                      std::to_string(kMaximumFields) + " plain values");
  }
  if (document.is_discarded() || !document.is_object()) {
    return BadRequest("the body is not a JSON object");
  }
  CallerRequest request;
  for (const auto& [name, value] : document.items()) {
    if (auto error = ReadField(name, value, request)) {
      return BadRequest(std::move(*error));
    }
  }
  if (request.request_id.empty()) {
    request.request_id = kernel::RandomIdentifier();
  }
  return request;
}

std::string BearerKey(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) {
    return "";
  }
  return std::string(authorization.substr(kScheme.size()));
}

}  // namespace laburnumkeel::entry
