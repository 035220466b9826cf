#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_REQUEST_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/kernel/result.h"
#include "programs/laburnumkeel-entry/caller_error.h"

namespace laburnumkeel::entry {

// The body of a caller's request. The required fields depend on the route.
struct CallerRequest {
  std::string group;
  std::string statement;
  // Set by the caller or else generated; returned in the response.
  std::string request_id;
  // Maximum accepted age of the data, in milliseconds.
  std::optional<std::int64_t> max_staleness_ms;
  bool repeatable = false;
  std::optional<std::string> idempotency_id;

  bool operator==(const CallerRequest&) const = default;
};

// Parses the JSON body; an empty body counts as an empty object. Fails with
// status 400 on malformed JSON, an unknown field, a wrong type or a value out
// of range.
kernel::Result<CallerRequest, CallerError> ParseCallerRequest(
    std::string_view body);

// The key in an `Authorization: Bearer` header, or an empty string.
std::string BearerKey(std::string_view authorization);

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_REQUEST_H_
