#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_ERROR_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_ERROR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/transport/http_message.h"

namespace laburnumkeel::admin {

// The reason why an administration request was not carried out.
struct AdminError {
  // HTTP status of the response.
  int status = 400;
  // Stable identifier for programs, such as `conflict`.
  std::string code;
  std::string message;
  std::vector<std::string> faults;
  // The current configuration version, for a conflict.
  std::optional<std::uint64_t> current_version;

  bool operator==(const AdminError&) const = default;
};

AdminError BadRequest(std::string message);
AdminError NotFound(std::string message);
AdminError Conflict(std::uint64_t current_version, std::string message);

// Returns a response with the body
// `{"error":{"code","message","faults","current_version"}}`.
transport::HttpResponse ToResponse(const AdminError& error);

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_ERROR_H_
