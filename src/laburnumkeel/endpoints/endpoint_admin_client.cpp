#include "laburnumkeel/endpoints/endpoint_admin_client.h"

#include <nlohmann/json.hpp>

#include "laburnumkeel/endpoints/bounded_json.h"

namespace laburnumkeel::endpoints {

namespace {

constexpr int kHttpOk = 200;

EndpointAdminClient::StatusResult Decode(
    const transport::HttpResponse& response) {
  const auto document = ParseBoundedJson(response.body);
  if (!document.has_value() || !document->is_object()) {
    return Unknown(codes::kInvalidResponse,
                   "the response is not a JSON object");
  }
  // Responses to `seal` and `promote` may contain the status as a nested
  // object.
  const auto nested = document->find("status");
  const auto status = model::EndpointStatusFromJson(
      nested == document->end() ? *document : *nested);
  const auto accepted = document->find("accepted");
  if (accepted != document->end() && *accepted == false) {
    return NotRun(codes::kNotAccepted,
                  status.has_value()
                      ? "sealed term is " + std::to_string(status->sealed_term)
                      : "the endpoint did not accept the term");
  }
  if (response.status != kHttpOk || !status.has_value()) {
    return Unknown(codes::kInvalidResponse,
                   "HTTP status " + std::to_string(response.status) +
                       ", no endpoint status");
  }
  return *status;
}

}  // namespace

EndpointAdminClient::EndpointAdminClient(
    const std::string& address, const Origin& origin,
    std::chrono::milliseconds response_timeout)
    : origin(origin.HeaderValue()),
      response_timeout(response_timeout),
      client(address, transport::ConnectionLimits{}) {}

EndpointAdminClient::StatusResult EndpointAdminClient::Status(
    const std::optional<model::LogPosition>& after,
    std::chrono::milliseconds wait) {
  std::string target = "/v1/status";
  if (after.has_value()) {
    target += "?after_term=" + std::to_string(after->term) +
              "&after_position=" + std::to_string(after->position) +
              "&wait_ms=" + std::to_string(wait.count());
  }
  return this->Send("GET", target, "", wait + this->response_timeout);
}

EndpointAdminClient::StatusResult EndpointAdminClient::Seal(
    model::Term term, const std::string& promoter) {
  return this->SendTerm("/v1/seal", term, promoter);
}

EndpointAdminClient::StatusResult EndpointAdminClient::Promote(
    model::Term term, const std::string& promoter) {
  return this->SendTerm("/v1/promote", term, promoter);
}

EndpointAdminClient::StatusResult EndpointAdminClient::Drain(
    std::chrono::milliseconds duration) {
  return this->Send("POST", "/v1/drain",
                    nlohmann::json{{"milliseconds", duration.count()}}.dump(),
                    this->response_timeout);
}

void EndpointAdminClient::Interrupt() { this->client.Interrupt(); }

EndpointAdminClient::StatusResult EndpointAdminClient::Send(
    const std::string& method, const std::string& target,
    const std::string& body, std::chrono::milliseconds timeout) {
  const auto response = this->client.Send(
      transport::HttpRequest{
          method, target, {{"Laburnumkeel-Origin", this->origin}}, body, {}},
      timeout);
  if (response.has_value()) {
    return Decode(response.value());
  }
  const transport::TransportError& error = response.error();
  if (error.stage == transport::FailureStage::kNotSent) {
    return NotRun(codes::kConnectFailed, error.message);
  }
  return Unknown(codes::kNoResponse, error.message);
}

EndpointAdminClient::StatusResult EndpointAdminClient::SendTerm(
    const std::string& target, model::Term term, const std::string& promoter) {
  return this->Send(
      "POST", target,
      nlohmann::json{{"term", term}, {"promoter", promoter}}.dump(),
      this->response_timeout);
}

}  // namespace laburnumkeel::endpoints
