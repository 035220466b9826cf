#include "programs/laburnumkeel-admin/admin_error.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace laburnumkeel::admin {

AdminError BadRequest(std::string message) {
  return AdminError{400, "bad_request", std::move(message), {}, std::nullopt};
}

AdminError NotFound(std::string message) {
  return AdminError{404, "not_found", std::move(message), {}, std::nullopt};
}

AdminError Conflict(std::uint64_t current_version, std::string message) {
  return AdminError{409, "conflict", std::move(message), {}, current_version};
}

transport::HttpResponse ToResponse(const AdminError& error) {
  nlohmann::json content{{"code", error.code},
                         {"message", error.message},
                         {"faults", error.faults}};
  if (error.current_version.has_value()) {
    content["current_version"] = *error.current_version;
  }
  // The message may contain invalid UTF-8 from a request.
  return transport::HttpResponse{
      error.status,
      {{"Content-Type", "application/json"}},
      nlohmann::json{{"error", content}}.dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace laburnumkeel::admin
