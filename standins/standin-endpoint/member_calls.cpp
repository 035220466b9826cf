#include "standins/standin-endpoint/member_calls.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standins/common/answer_text.h"
#include "standins/common/origin.h"
#include "standins/standin-endpoint/statement.h"

namespace laburnumkeel::standins {

namespace {

constexpr std::int64_t kMaximumWaitMs = 10000;
constexpr std::int64_t kMaximumDrainMs = 600000;

// Clients may read the status from the field or from the top level.
nlohmann::json WithStatus(const model::EndpointStatus& status) {
  nlohmann::json document = model::ToJson(status);
  document["status"] = model::ToJson(status);
  return document;
}

transport::HttpResponse AcceptedResponse(bool accepted, Database& database) {
  nlohmann::json document = WithStatus(database.Status());
  document["accepted"] = accepted;
  return JsonResponse(200, document);
}

}  // namespace

MemberCalls::MemberCalls(Database& database, const LatencyTable& latencies)
    : database(database), latencies(latencies) {}

transport::HttpResponse MemberCalls::Execute(
    const transport::HttpRequest& request) {
  if (request.method == "GET" && request.target == "/v1/status") {
    return this->GetStatus(request);
  }
  if (request.method != "POST") {
    return JsonResponse(404, {{"error", "no such call"}});
  }
  try {
    return this->Post(request);
  } catch (const nlohmann::json::exception& error) {
    return JsonResponse(400, {{"error", error.what()}});
  }
}

transport::HttpResponse MemberCalls::Post(
    const transport::HttpRequest& request) {
  const std::string& path = request.target;
  if (path == "/v1/replicate") {
    const Origin origin =
        ParseOrigin(request.Header(std::string(kOriginHeader)));
    return AcceptedResponse(
        this->database.Replicate(
            ReplicationFromJson(nlohmann::json::parse(request.body)),
            this->latencies.OneWay(origin.data_centre)),
        this->database);
  }
  if (path == "/v1/seal" || path == "/v1/promote") {
    const auto body = nlohmann::json::parse(request.body);
    const auto term = body.at("term").get<model::Term>();
    const auto promoter = body.at("promoter").get<std::string>();
    return AcceptedResponse(path == "/v1/seal"
                                ? this->database.Seal(term, promoter)
                                : this->database.Promote(term, promoter),
                            this->database);
  }
  if (path == "/v1/drain") {
    const auto body = nlohmann::json::parse(request.body);
    const auto milliseconds = body.at("milliseconds").get<std::int64_t>();
    if (milliseconds < 0 || milliseconds > kMaximumDrainMs) {
      return JsonResponse(400,
                          {{"error", "milliseconds: allowed 0 to 600000"}});
    }
    this->database.Drain(std::chrono::milliseconds(milliseconds));
    return JsonResponse(200, WithStatus(this->database.Status()));
  }
  return JsonResponse(404, {{"error", "no such call"}});
}

transport::HttpResponse MemberCalls::GetStatus(
    const transport::HttpRequest& request) {
  const auto wait = ParseNumber(request.Parameter("wait_ms")).value_or(0);
  const auto term = ParseNumber(request.Parameter("after_term")).value_or(0);
  const auto position =
      ParseNumber(request.Parameter("after_position")).value_or(0);
  const model::EndpointStatus status = this->database.WaitForChange(
      model::LogPosition{static_cast<model::Term>(term),
                         static_cast<std::uint64_t>(position)},
      std::chrono::milliseconds(
          std::clamp<std::int64_t>(wait, 0, kMaximumWaitMs)));
  return JsonResponse(200, model::ToJson(status));
}

}  // namespace laburnumkeel::standins
