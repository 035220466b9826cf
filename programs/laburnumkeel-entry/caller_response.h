#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_RESPONSE_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_RESPONSE_H_

#include <string>

#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/transport/http_message.h"
#include "programs/laburnumkeel-entry/caller_error.h"

namespace laburnumkeel::entry {

// The header of requests and responses that carries the session token.
inline constexpr char kSessionHeader[] = "Laburnumkeel-Session";

// A successful response.
struct CallerResult {
  std::string request_id;
  // The endpoint's result; in the response it is JSON if it is JSON text nested
  // at most 128 levels, and else a string.
  std::string result;
  std::string endpoint;
  // `primary` or `replica`.
  std::string role;
  model::LogPosition position;
  // Empty when the request has no session.
  std::string session_token;
  // Empty outside transactions.
  std::string transaction;

  bool operator==(const CallerResult&) const = default;
};

transport::HttpResponse ToHttpResponse(const CallerResult& result);

// `session_token` may be empty. It is present because a write with an unknown
// outcome changes the session.
transport::HttpResponse ToHttpResponse(const CallerError& error,
                                       const std::string& request_id,
                                       const std::string& session_token);

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_RESPONSE_H_
