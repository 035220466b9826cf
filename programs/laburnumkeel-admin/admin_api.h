#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_API_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_API_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/configuration/key_hash.h"
#include "laburnumkeel/configuration/validation.h"
#include "laburnumkeel/kernel/digest.h"
#include "laburnumkeel/transport/http_server.h"
#include "programs/laburnumkeel-admin/configuration_changer.h"
#include "programs/laburnumkeel-admin/request_fields.h"

namespace laburnumkeel::admin {

// A route of the API with its handler.
struct AdminRoute {
  std::string method;
  std::string path;
  transport::HttpServer::Handler handler;
};

// The administration API. Every route requires the administrator secret.
// Thread-safe. Must outlive the handlers.
template <LocalControl Control, class Pause>
class AdminApi {
 public:
  // Callers send `secret` as `Authorization: Bearer <secret>`.
  AdminApi(Control& control, Pause pause, std::string secret)
      : control(control),
        changer(control, std::move(pause)),
        authorization("Bearer " + std::move(secret)) {}

  std::vector<AdminRoute> Routes() {
    const std::string account = "/v1/client_accounts/:account";
    return {
        this->Route("GET", "/v1/configuration", &AdminApi::Show),
        this->Route("PUT", "/v1/configuration", &AdminApi::Replace),
        this->Route("POST", "/v1/configuration/validate", &AdminApi::Validate),
        this->Route("POST", account + "/keys", &AdminApi::Grant),
        this->Route("DELETE", account + "/keys/:id", &AdminApi::Revoke),
        this->Route("PUT", account, &AdminApi::SetLimits),
        this->Route("PUT", "/v1/data_centres/:name/state",
                    &AdminApi::SetDataCentre),
        this->Route("PUT",
                    "/v1/services/:service/groups/:group/endpoints/:endpoint/"
                    "state",
                    &AdminApi::SetEndpoint),
        this->Route("GET", "/v1/fleet", &AdminApi::Fleet),
    };
  }

 private:
  using Request = transport::HttpRequest;
  using Response = transport::HttpResponse;

  AdminRoute Route(const std::string& method, const std::string& path,
                   Response (AdminApi::*handler)(const Request&)) {
    return AdminRoute{
        method, path, [this, handler](const Request& request) {
          if (!kernel::ConstantTimeEqual(request.Header("Authorization"),
                                         this->authorization)) {
            kernel::LogEvent(kUnauthorized, {{"method", request.method},
                                             {"target", request.target}});
            return ToResponse(AdminError{401,
                                         "unauthorized",
                                         "the administrator secret is missing "
                                         "or wrong",
                                         {},
                                         std::nullopt});
          }
          return (this->*handler)(request);
        }};
  }

  static Response Json(int status, const nlohmann::json& body) {
    return Response{
        status, {{"Content-Type", "application/json"}}, body.dump()};
  }

  Response Show(const Request& /*request*/) {
    const auto current = this->changer.Current();
    if (!current.has_value()) {
      return ToResponse(current.error());
    }
    return Response{200,
                    {{"Content-Type", "application/json"}},
                    model::Encode(current.value())};
  }

  Response Replace(const Request& request) {
    const auto base_version = BaseVersion(request);
    if (!base_version.has_value()) {
      return ToResponse(base_version.error());
    }
    if (!base_version.value().has_value()) {
      return ToResponse(BadRequest("base_version is missing"));
    }
    const auto document = model::DecodeConfiguration(request.body);
    if (!document.has_value()) {
      return ToResponse(Undecodable(document.error().message));
    }
    // A caller that retries a change after a lost response sends the operation
    // id of the first attempt.
    std::string operation_id = request.Parameter("operation_id");
    if (operation_id.empty()) {
      operation_id = kernel::RandomIdentifier();
    }
    return this->VersionResponse(this->changer.Replace(
        document.value(), *base_version.value(), operation_id));
  }

  Response Validate(const Request& request) {
    const auto document = model::DecodeConfiguration(request.body);
    if (!document.has_value()) {
      return ToResponse(Undecodable(document.error().message));
    }
    std::vector<std::string> faults;
    for (const auto& fault : configuration::Validate(document.value())) {
      faults.push_back(ToString(fault));
    }
    if (!faults.empty()) {
      return ToResponse(AdminError{422, "invalid",
                                   "the configuration has faults",
                                   std::move(faults), std::nullopt});
    }
    return Json(200, {{"valid", true}});
  }

  Response Grant(const Request& request) {
    const configuration::GeneratedKey key = configuration::GenerateKey();
    const auto version =
        this->Apply(request, GrantKey(request.Parameter("account"), key.hash));
    if (!version.has_value()) {
      AdminError error = version.error();
      // With the id the operator can revoke the key if it was created.
      if (error.code == "unknown") {
        error.message += "; the key's id is " + key.hash.id;
      }
      return ToResponse(error);
    }
    return Json(
        201,
        {{"id", key.hash.id}, {"key", key.text}, {"version", version.value()}});
  }

  Response Revoke(const Request& request) {
    return this->VersionResponse(this->Apply(
        request,
        RevokeKey(request.Parameter("account"), request.Parameter("id"))));
  }

  Response SetLimits(const Request& request) {
    const auto limits = RequestedLimits(request);
    if (!limits.has_value()) {
      return ToResponse(limits.error());
    }
    return this->VersionResponse(this->Apply(
        request, SetAccountLimits(request.Parameter("account"),
                                  limits.value().rate, limits.value().burst)));
  }

  Response SetDataCentre(const Request& request) {
    const auto state = RequestedState(request);
    if (!state.has_value()) {
      return ToResponse(state.error());
    }
    return this->VersionResponse(this->Apply(
        request, SetDataCentreState(request.Parameter("name"), state.value())));
  }

  Response SetEndpoint(const Request& request) {
    const auto state = RequestedState(request);
    if (!state.has_value()) {
      return ToResponse(state.error());
    }
    return this->VersionResponse(this->Apply(
        request, SetEndpointState(
                     request.Parameter("service"), request.Parameter("group"),
                     request.Parameter("endpoint"), state.value())));
  }

  Response Fleet(const Request& /*request*/) {
    const auto members = this->control.FleetStatus();
    if (!members.has_value()) {
      return ToResponse(AdminError{503,
                                   "control_unreachable",
                                   members.error().message,
                                   {},
                                   std::nullopt});
    }
    nlohmann::json list = nlohmann::json::array();
    for (const FleetMember& member : members.value()) {
      list.push_back({{"vm", member.vm},
                      {"data_centre", member.data_centre},
                      {"age_ms", member.age.count()},
                      {"configuration_version", member.configuration_version},
                      {"reaches_store", member.reaches_store}});
    }
    return Json(200, {{"vms", list}});
  }

  kernel::Result<std::uint64_t, AdminError> Apply(
      const Request& request, const ConfigurationEdit& edit) {
    const auto base_version = BaseVersion(request);
    if (!base_version.has_value()) {
      return base_version.error();
    }
    return this->changer.Apply(edit, base_version.value());
  }

  static Response VersionResponse(
      const kernel::Result<std::uint64_t, AdminError>& version) {
    return version.has_value() ? Json(200, {{"version", version.value()}})
                               : ToResponse(version.error());
  }

  static AdminError Undecodable(const std::string& message) {
    return AdminError{
        422, "invalid", "the document cannot be read", {message}, std::nullopt};
  }

  Control& control;
  ConfigurationChanger<Control, Pause> changer;
  const std::string authorization;
};

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_API_H_
