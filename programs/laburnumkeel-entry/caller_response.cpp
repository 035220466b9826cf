#include "programs/laburnumkeel-entry/caller_response.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace laburnumkeel::entry {

namespace {

using nlohmann::json;

// Writing JSON takes stack for each level, and threads of connections have
// 256 KiB.
constexpr int kMaximumNesting = 128;

// True if arrays and objects of a JSON text are nested more deeply.
bool IsNestedDeeply(std::string_view text) {
  int depth = 0;
  bool is_in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char c = text[index];
    if (is_in_string) {
      // The escaped character does not end the string.
      index += c == '\\' ? 1 : 0;
      is_in_string = c != '"';
    } else if (c == '"') {
      is_in_string = true;
    } else if (c == '[' || c == '{') {
      ++depth;
    } else if (c == ']' || c == '}') {
      --depth;
    }
    if (depth > kMaximumNesting) {
      return true;
    }
  }
  return false;
}

// The result as JSON, or as a string if it is no JSON or nested deeply.
json ResultToJson(const std::string& text) {
  if (IsNestedDeeply(text)) {
    return json(text);
  }
  json parsed = json::parse(text, nullptr, false);
  return parsed.is_discarded() ? json(text) : parsed;
}

transport::HttpResponse MakeJsonResponse(int status, const json& body,
                                         const std::string& session_token) {
  // Strings from callers may contain invalid UTF-8, which `dump` would
  // otherwise reject with an exception.
  transport::HttpResponse response{
      status,
      {{"Content-Type", "application/json"}},
      body.dump(-1, ' ', false, json::error_handler_t::replace)};
  if (!session_token.empty()) {
    response.headers[kSessionHeader] = session_token;
  }
  return response;
}

}  // namespace

transport::HttpResponse ToHttpResponse(const CallerResult& result) {
  json body = {{"outcome", "done"},
               {"request_id", result.request_id},
               {"served_by",
                {{"endpoint", result.endpoint},
                 {"role", result.role},
                 {"term", result.position.term},
                 {"position", result.position.position}}}};
  body["result"] = ResultToJson(result.result);
  if (!result.transaction.empty()) {
    body["transaction"] = result.transaction;
  }
  return MakeJsonResponse(200, body, result.session_token);
}

transport::HttpResponse ToHttpResponse(const CallerError& error,
                                       const std::string& request_id,
                                       const std::string& session_token) {
  const json body = {{"error",
                      {{"code", error.code},
                       {"message", error.message},
                       {"outcome", model::ToString(error.outcome)}}},
                     {"request_id", request_id}};
  transport::HttpResponse response =
      MakeJsonResponse(error.http_status, body, session_token);
  if (error.retry_after.count() > 0) {
    response.headers["Retry-After"] = std::to_string(error.retry_after.count());
  }
  return response;
}

}  // namespace laburnumkeel::entry
