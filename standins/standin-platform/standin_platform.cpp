#include "standins/standin-platform/standin_platform.h"

#include <nlohmann/json.hpp>

#include "standins/common/answer_text.h"
#include "standins/common/fault_routes.h"

namespace laburnumkeel::standins {

namespace {

const std::vector<FaultMode> kSupportedFaultModes{
    FaultMode::kNone,        FaultMode::kDown,   FaultMode::kSlow,
    FaultMode::kLoseAnswers, FaultMode::kFreeze, FaultMode::kCut};

StandinServerOptions ToServerOptions(const PlatformSettings& settings) {
  return StandinServerOptions{
      settings.listen,
      std::chrono::milliseconds(0),
      LatencyTable::Parse(settings.latencies).value_or(LatencyTable{}),
      false,
      {}};
}

}  // namespace

StandinPlatform::StandinPlatform(const PlatformSettings& settings)
    : calls(*ParseVmSetting(settings.vms),
            std::chrono::milliseconds(settings.vm_list_lag_ms)),
      server(ToServerOptions(settings), [this] { return this->MakeHandler(); }),
      faults_server(settings.faults_listen, transport::ServerLimits{}) {
  this->AddFaultPortRoutes();
}

StandinPlatform::~StandinPlatform() { this->Stop(); }

bool StandinPlatform::Start() {
  return this->server.Start() && this->faults_server.Start();
}

void StandinPlatform::Stop() {
  this->faults_server.Stop();
  this->server.Stop();
}

ConnectionHandler StandinPlatform::MakeHandler() {
  return ConnectionHandler{
      [](const transport::HttpRequest&) { return std::nullopt; },
      [this](const transport::HttpRequest& request) {
        return this->calls.Execute(request);
      },
      [] {}};
}

void StandinPlatform::AddFaultPortRoutes() {
  AddFaultRoutes(this->faults_server, this->server, kSupportedFaultModes);
  this->faults_server.AddRoute(
      "GET", "/counters", [this](const transport::HttpRequest&) {
        return JsonResponse(200, this->calls.Counters());
      });
  this->faults_server.AddRoute(
      "POST", "/vms", [this](const transport::HttpRequest& request) {
        const auto vms = ParseVmList(request.body);
        if (!vms.has_value()) {
          return JsonResponse(400, {{"error", "malformed list of VMs"}});
        }
        this->calls.Vms().Replace(*vms);
        return JsonResponse(200, ToJson(*vms));
      });
}

}  // namespace laburnumkeel::standins
