#include "laburnumkeel/endpoints/statement_codec.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "laburnumkeel/endpoints/bounded_json.h"

namespace laburnumkeel::endpoints {

namespace {

constexpr int kHttpOk = 200;

std::optional<std::string> Dump(const nlohmann::json& document) {
  try {
    return document.dump();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

bool HasNumber(const nlohmann::json& document, const char* name) {
  const auto field = document.find(name);
  return field != document.end() && field->is_number_unsigned();
}

EndpointError Invalid(const std::string& message) {
  return Unknown(codes::kInvalidResponse, message);
}

}  // namespace

std::optional<std::string> EncodeRequest(const StatementRequest& request) {
  nlohmann::json document{{"request_id", request.request_id},
                          {"term", request.term},
                          {"kind", ToString(request.kind)},
                          {"statement", request.statement},
                          {"account", request.account}};
  if (request.idempotency_id.has_value()) {
    document["idempotency_id"] = *request.idempotency_id;
  }
  return Dump(document);
}

std::optional<std::string> EncodeRequest(const TransactionRequest& request) {
  return Dump({{"request_id", request.request_id},
               {"term", request.term},
               {"account", request.account}});
}

kernel::Result<StatementResult, EndpointError> DecodeResponse(
    const transport::HttpResponse& response, const std::string& request_id,
    ResultField result_field) {
  const auto document = ParseBoundedJson(response.body);
  if (!document.has_value() || !document->is_object()) {
    return Invalid("the response is not a JSON object");
  }
  const auto echoed_id = document->find("request_id");
  if (echoed_id == document->end() || !echoed_id->is_string() ||
      echoed_id->get_ref<const std::string&>() != request_id) {
    return Unknown(codes::kWrongRequestId,
                   "the response belongs to another request");
  }
  const auto error = document->find("error");
  if (error != document->end()) {
    if (error->is_string() &&
        IsEndpointRefusal(error->get_ref<const std::string&>())) {
      return NotRun(error->get_ref<const std::string&>(),
                    "the endpoint refused the request before execution");
    }
    return Invalid("the response contains an unknown error");
  }
  if (response.status != kHttpOk) {
    return Invalid("HTTP status " + std::to_string(response.status));
  }
  if (!HasNumber(*document, "term") || !HasNumber(*document, "position")) {
    return Invalid("the response has no log position");
  }
  const auto result = document->find("result");
  if (result == document->end() && result_field == ResultField::kRequired) {
    return Invalid("the response has no result");
  }
  return StatementResult{
      request_id, result == document->end() ? "null" : result->dump(),
      model::LogPosition{document->at("term").get<model::Term>(),
                         document->at("position").get<std::uint64_t>()}};
}

}  // namespace laburnumkeel::endpoints
