#include "laburnumkeel/endpoints/endpoint_connection.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "laburnumkeel/endpoints/bounded_json.h"

namespace laburnumkeel::endpoints {

std::string Origin::HeaderValue() const {
  return this->name + "/" + this->data_centre;
}

EndpointConnection::EndpointConnection(transport::HttpConnection connection,
                                       std::string origin)
    : connection(std::move(connection)), origin(std::move(origin)) {}

kernel::Result<EndpointConnection, EndpointError> EndpointConnection::Open(
    const std::string& address, const Origin& origin,
    const transport::ConnectionLimits& limits) {
  auto connection = transport::HttpConnection::Open(address, limits);
  if (!connection.has_value()) {
    return NotRun(codes::kConnectFailed, connection.error().message);
  }
  return EndpointConnection(std::move(connection.value()),
                            origin.HeaderValue());
}

kernel::Result<StatementResult, EndpointError> EndpointConnection::Execute(
    const StatementRequest& request, std::chrono::milliseconds timeout) {
  return this->Call("/v1/execute", request.request_id, EncodeRequest(request),
                    ResultField::kRequired, timeout);
}

kernel::Result<StatementResult, EndpointError> EndpointConnection::Begin(
    const TransactionRequest& request, std::chrono::milliseconds timeout) {
  return this->Call("/v1/begin", request.request_id, EncodeRequest(request),
                    ResultField::kOptional, timeout);
}

kernel::Result<StatementResult, EndpointError> EndpointConnection::Commit(
    const TransactionRequest& request, std::chrono::milliseconds timeout) {
  return this->Call("/v1/commit", request.request_id, EncodeRequest(request),
                    ResultField::kOptional, timeout);
}

kernel::Result<StatementResult, EndpointError> EndpointConnection::Abort(
    const TransactionRequest& request, std::chrono::milliseconds timeout) {
  return this->Call("/v1/abort", request.request_id, EncodeRequest(request),
                    ResultField::kOptional, timeout);
}

kernel::Result<model::EndpointStatus, EndpointError> EndpointConnection::Probe(
    std::chrono::milliseconds timeout) {
  const auto response = this->Exchange(
      transport::HttpRequest{
          "GET", "/v1/status", {{"Laburnumkeel-Origin", this->origin}}, {}, {}},
      timeout);
  if (!response.has_value()) {
    return response.error();
  }
  const auto document = ParseBoundedJson(response.value().body);
  const auto status = document.has_value() && response.value().status == 200
                          ? model::EndpointStatusFromJson(*document)
                          : std::nullopt;
  if (!status.has_value()) {
    this->Close();
    return Unknown(codes::kInvalidResponse, "the response is not a status");
  }
  return *status;
}

bool EndpointConnection::IsUsable() const {
  return this->connection.IsUsable();
}

void EndpointConnection::Close() { this->connection.Close(); }

void EndpointConnection::Interrupt() { this->connection.Interrupt(); }

kernel::Result<transport::HttpResponse, EndpointError>
EndpointConnection::Exchange(const transport::HttpRequest& request,
                             std::chrono::milliseconds timeout) {
  if (timeout <= std::chrono::milliseconds(0)) {
    return NotRun(codes::kDeadlinePassed, "no time was left to send");
  }
  auto response = this->connection.Exchange(request, timeout);
  if (response.has_value()) {
    return std::move(response.value());
  }
  this->Close();
  const transport::TransportError& error = response.error();
  if (error.stage == transport::FailureStage::kNotSent) {
    return NotRun(codes::kConnectionClosed, error.message);
  }
  return Unknown(codes::kNoResponse, error.message);
}

kernel::Result<StatementResult, EndpointError> EndpointConnection::Call(
    const std::string& target, const std::string& request_id,
    const std::optional<std::string>& body, ResultField result_field,
    std::chrono::milliseconds timeout) {
  if (!body.has_value()) {
    return NotRun(codes::kInvalidText, "the request is not valid UTF-8");
  }
  const auto response = this->Exchange(
      transport::HttpRequest{
          "POST", target, {{"Laburnumkeel-Origin", this->origin}}, *body, {}},
      timeout);
  if (!response.has_value()) {
    return response.error();
  }
  auto result = DecodeResponse(response.value(), request_id, result_field);
  if (!result.has_value() &&
      result.error().outcome == model::Outcome::kUnknown) {
    this->Close();
  }
  return result;
}

}  // namespace laburnumkeel::endpoints
