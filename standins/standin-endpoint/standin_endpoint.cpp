#include "standins/standin-endpoint/standin_endpoint.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "standins/common/answer_text.h"
#include "standins/common/fault_routes.h"
#include "standins/common/named_values.h"
#include "standins/standin-endpoint/statement_calls.h"

namespace laburnumkeel::standins {

namespace {

constexpr std::chrono::milliseconds kStatusTimeout{500};

DatabaseOptions ToDatabaseOptions(const EndpointSettings& settings) {
  return DatabaseOptions{
      settings.name, settings.group,
      std::chrono::milliseconds(settings.replication_lag_ms)};
}

std::string OwnOrigin(const EndpointSettings& settings) {
  return settings.name + "/" + settings.data_centre;
}

std::vector<std::pair<std::string, std::string>> OtherMembers(
    const EndpointSettings& settings) {
  auto members = *ParseNamedAddresses(settings.members);
  std::erase_if(members, [&](const auto& member) {
    return member.first == settings.name;
  });
  return members;
}

StandinServerOptions ToServerOptions(const EndpointSettings& settings,
                                     const LatencyTable& latencies) {
  return StandinServerOptions{
      settings.listen,
      std::chrono::milliseconds(settings.connect_delay_ms),
      latencies,
      settings.record_received,
      // Status polls and replication must not use up the count of a fault.
      {"/v1/execute", "/v1/begin", "/v1/commit", "/v1/abort"}};
}

const std::vector<FaultMode> kSupportedFaultModes{
    FaultMode::kNone,
    FaultMode::kDown,
    FaultMode::kSlow,
    FaultMode::kLoseAnswers,
    FaultMode::kFreeze,
    FaultMode::kCut,
    FaultMode::kCloseBeforeExecute,
    FaultMode::kResetAfterRead,
    FaultMode::kHalfAnswer,
    FaultMode::kLateAnswer,
    FaultMode::kCrossedAnswer,
    FaultMode::kDoubledAnswer,
    FaultMode::kOversizedAnswer};

}  // namespace

StandinEndpoint::StandinEndpoint(const EndpointSettings& settings)
    : settings(settings),
      latencies(
          LatencyTable::Parse(settings.latencies).value_or(LatencyTable{})),
      members(OtherMembers(settings)),
      database(ToDatabaseOptions(settings)),
      slots(settings.slots),
      member_calls(this->database, this->latencies),
      server(ToServerOptions(settings, this->latencies),
             [this] { return this->MakeHandler(); }),
      faults_server(settings.faults_listen, transport::ServerLimits{}) {
  this->AddFaultPortRoutes();
  for (const auto& [name, address] : this->members) {
    this->replicators.push_back(std::make_unique<Replicator>(
        this->database, Origin{name, ""}, address, OwnOrigin(settings),
        [this](const Origin& member) { return this->MaySendTo(member); }));
  }
}

StandinEndpoint::~StandinEndpoint() { this->Stop(); }

bool StandinEndpoint::Start() {
  // A restarted primary has an empty log. If it began term 1 again, it would
  // write different entries at positions that other members already have.
  if (this->settings.initial_primary && !this->GroupHasLog()) {
    this->database.BeginFirstTerm();
  }
  if (!this->server.Start() || !this->faults_server.Start()) {
    return false;
  }
  for (const auto& replicator : this->replicators) {
    replicator->Start();
  }
  return true;
}

void StandinEndpoint::Stop() {
  this->database.Stop();
  for (const auto& replicator : this->replicators) {
    replicator->Stop();
  }
  this->faults_server.Stop();
  this->server.Stop();
}

ConnectionHandler StandinEndpoint::MakeHandler() {
  auto calls = std::make_shared<StatementCalls>(StatementEnvironment{
      this->database, this->slots, this->executions,
      std::chrono::milliseconds(this->settings.statement_ms)});
  ConnectionHandler handler;
  handler.admit = [calls](const transport::HttpRequest& request)
      -> std::optional<transport::HttpResponse> {
    if (!StatementCalls::IsStatementCall(request)) {
      return std::nullopt;
    }
    return calls->Admit(request);
  };
  handler.execute = [this, calls](const transport::HttpRequest& request) {
    transport::HttpResponse response =
        StatementCalls::IsStatementCall(request)
            ? calls->Execute(request)
            : this->member_calls.Execute(request);
    // Tells a primary the data centre of this member.
    response.headers[std::string(kOriginHeader)] = OwnOrigin(this->settings);
    return response;
  };
  handler.on_response_written = [calls] { calls->OnResponseWritten(); };
  return handler;
}

void StandinEndpoint::AddFaultPortRoutes() {
  AddFaultRoutes(this->faults_server, this->server, kSupportedFaultModes);
  this->faults_server.AddRoute(
      "GET", "/executions", [this](const transport::HttpRequest&) {
        return JsonResponse(200, this->executions.Copy());
      });
  this->faults_server.AddRoute(
      "GET", "/received", [this](const transport::HttpRequest&) {
        return transport::HttpResponse{
            200,
            {{"Content-Type", "application/octet-stream"}},
            this->server.Received().Copy()};
      });
}

bool StandinEndpoint::MaySendTo(const Origin& member) const {
  const FaultPlan& faults = this->server.Faults();
  return !faults.IsDown() && !faults.IsFrozen() && !faults.IsCut(member);
}

bool StandinEndpoint::GroupHasLog() const {
  const transport::HttpRequest request{
      "GET",
      "/v1/status",
      {{std::string(kOriginHeader), OwnOrigin(this->settings)}},
      "",
      {}};
  for (const auto& [name, address] : this->members) {
    transport::HttpClient client(address, transport::ConnectionLimits{});
    const auto response = client.Send(request, kStatusTimeout);
    const auto status =
        response.has_value()
            ? model::EndpointStatusFromJson(
                  nlohmann::json::parse(response.value().body, nullptr, false))
            : std::nullopt;
    if (status.has_value() && status->log_end.position > 0) {
      return true;
    }
  }
  return false;
}

}  // namespace laburnumkeel::standins
