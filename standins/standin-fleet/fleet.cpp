#include "standins/standin-fleet/fleet.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "laburnumkeel/model/configuration_codec.h"
#include "laburnumkeel/model/endpoint_status.h"
#include "laburnumkeel/transport/http_client.h"

namespace laburnumkeel::standin {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{10000};
constexpr milliseconds kStartTimeout{30000};
constexpr milliseconds kStopTimeout{15000};
constexpr milliseconds kPollInterval{50};
constexpr int kOk = 200;
constexpr char kFleetSecret[] = "fleet-secret-for-tests-0123456789";
constexpr char kAdministratorSecret[] = "administrator-secret-for-tests";

std::string VmListSetting(const Deployment& deployment) {
  std::string list;
  for (int vm = 0; vm < kVmCount; ++vm) {
    list += (vm == 0 ? "" : ",") + VmName(vm) + "=" +
            DataCentreName(DataCentreOfVm(vm)) + "/" +
            VmAddress(deployment, vm, kPeerPort) + "/" +
            VmAddress(deployment, vm, kEntryPort);
  }
  return list;
}

// Latency from a process in `own_data_centre` to each data centre, as
// `dc1=0,dc2=8`.
std::string LatenciesSetting(const Deployment& deployment,
                             int own_data_centre) {
  std::string list;
  for (int centre = 0; centre < kDataCentreCount; ++centre) {
    list +=
        (centre == 0 ? "" : ",") + DataCentreName(centre) + "=" +
        std::to_string(centre == own_data_centre ? 0 : deployment.latency_ms);
  }
  return list;
}

}  // namespace

Fleet::Fleet(Deployment deployment, std::string binaries, std::string logs)
    : deployment(std::move(deployment)),
      binaries(std::move(binaries)),
      logs(std::move(logs)) {}

const char* Fleet::AdministratorSecret() { return kAdministratorSecret; }

std::string Fleet::LogPath(const std::string& name) const {
  return this->logs + "/" + this->deployment.service + "-" + name + ".log";
}

void Fleet::StartPlatform() {
  this->platform.clear();
  this->platform.emplace_back(
      std::vector<std::string>{
          this->binaries + "/standin-platform",
          "--listen=" + PlatformAddress(this->deployment, kServicePort),
          "--faults-listen=" + PlatformAddress(this->deployment, kFaultsPort),
          "--vms=" + VmListSetting(this->deployment)},
      this->LogPath("platform"));
}

void Fleet::StartEndpoint(int group, int member, bool initial_primary) {
  std::string members;
  for (int other = 0; other < kDataCentreCount; ++other) {
    members += (other == 0 ? "" : ",") + EndpointName(group, other) + "=" +
               EndpointAddress(this->deployment, group, other, kServicePort);
  }
  std::vector<std::string> command{
      this->binaries + "/standin-endpoint",
      "--name=" + EndpointName(group, member),
      "--group=" + GroupName(group),
      "--data-centre=" + DataCentreName(member),
      "--listen=" +
          EndpointAddress(this->deployment, group, member, kServicePort),
      "--faults-listen=" +
          EndpointAddress(this->deployment, group, member, kFaultsPort),
      "--members=" + members,
      "--replication-lag-ms=" +
          std::to_string(this->deployment.replication_lag_ms),
      "--latencies=" + LatenciesSetting(this->deployment, member),
      "--record-received"};
  if (initial_primary) {
    command.emplace_back("--initial-primary");
  }
  const std::string name = EndpointName(group, member);
  this->endpoints.erase(name);
  this->endpoints.emplace(name, ChildProcess(command, this->LogPath(name)));
}

void Fleet::StartVm(int vm) {
  const std::string name = VmName(vm);
  const std::string centre = DataCentreName(DataCentreOfVm(vm));
  const auto program = [&](const std::string& binary,
                           std::vector<std::string> settings) {
    settings.insert(settings.begin(), this->binaries + "/" + binary);
    return ChildProcess(settings, this->LogPath(name + "-" + binary));
  };
  const std::string own_name = "--vm=" + name;
  const std::string own_centre = "--data-centre=" + centre;
  const std::string control = VmAddress(this->deployment, vm, kLocalPort);
  this->vms.erase(vm);
  this->vms.emplace(
      vm,
      VmProcesses{
          program(
              "laburnumkeel-control",
              {own_name, own_centre,
               "--peer-listen=" + VmAddress(this->deployment, vm, kPeerPort),
               "--local-listen=" + control,
               "--platform=" + PlatformAddress(this->deployment, kServicePort),
               std::string("--poll-only=") +
                   (this->deployment.poll_only ? "true" : "false")}),
          program("laburnumkeel-admin",
                  {"--listen=" + VmAddress(this->deployment, vm, kAdminPort),
                   "--control-address=" + control,
                   std::string("--admin-secret=") + kAdministratorSecret}),
          program("laburnumkeel-entry",
                  {own_name, own_centre,
                   "--listen=" + VmAddress(this->deployment, vm, kEntryPort),
                   "--control=" + control,
                   std::string("--fleet-secret=") + kFleetSecret})});
}

bool Fleet::Start() {
  this->StartPlatform();
  for (int group = 0; group < kGroupCount; ++group) {
    for (int member = 0; member < kDataCentreCount; ++member) {
      this->StartEndpoint(group, member, member == group);
    }
  }
  for (int vm = 0; vm < kVmCount; ++vm) {
    this->StartVm(vm);
  }
  if (!this->ApplyConfiguration()) {
    return false;
  }
  for (int vm = 0; vm < kVmCount; ++vm) {
    if (!this->WaitUntilReady(vm, kStartTimeout)) {
      return false;
    }
  }
  return true;
}

bool Fleet::ApplyConfiguration() const {
  const auto deadline = std::chrono::steady_clock::now() + kStartTimeout;
  const std::string document = Encode(BuildConfiguration(this->deployment));
  const std::map<std::string, std::string> headers{
      {"Authorization", std::string("Bearer ") + kAdministratorSecret}};
  const std::string address = VmAddress(this->deployment, 0, kAdminPort);
  while (std::chrono::steady_clock::now() < deadline) {
    const FleetResponse applied = this->Send(
        address,
        transport::HttpRequest{
            "PUT", "/v1/configuration?base_version=0", headers, document, {}});
    // A change whose distribution was not confirmed in time is in effect too.
    const FleetResponse current = this->Send(
        address,
        transport::HttpRequest{"GET", "/v1/configuration", headers, "", {}});
    if (applied.status == kOk ||
        current.body.find(this->deployment.service) != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

int Fleet::Stop() {
  int failures = 0;
  for (auto& [vm, processes] : this->vms) {
    processes.entry.RequestTermination();
  }
  for (auto& [vm, processes] : this->vms) {
    failures += processes.entry.Terminate(kStopTimeout) == 0 ? 0 : 1;
    processes.administration.RequestTermination();
    processes.control.RequestTermination();
  }
  for (auto& [vm, processes] : this->vms) {
    failures += processes.administration.Terminate(kStopTimeout) == 0 ? 0 : 1;
    failures += processes.control.Terminate(kStopTimeout) == 0 ? 0 : 1;
  }
  for (auto& [name, process] : this->endpoints) {
    process.RequestTermination();
  }
  for (auto& [name, process] : this->endpoints) {
    failures += process.Terminate(kStopTimeout) == 0 ? 0 : 1;
  }
  for (ChildProcess& process : this->platform) {
    failures += process.Terminate(kStopTimeout) == 0 ? 0 : 1;
  }
  this->vms.clear();
  this->endpoints.clear();
  this->platform.clear();
  return failures;
}

ChildProcess& Fleet::Endpoint(int group, int member) {
  return this->endpoints.at(EndpointName(group, member));
}

FleetResponse Fleet::Call(int vm, const std::string& kind,
                          const std::string& key, const std::string& body,
                          const std::string& session) const {
  transport::HttpRequest request{
      "POST",
      "/v1/services/" + this->deployment.service + "/" + kind,
      {{"Authorization", "Bearer " + key}},
      body,
      {}};
  if (!session.empty()) {
    request.headers["Laburnumkeel-Session"] = session;
  }
  return this->Send(VmAddress(this->deployment, vm, kEntryPort), request);
}

FleetResponse Fleet::Send(const std::string& address,
                          const transport::HttpRequest& request) const {
  auto connection =
      transport::HttpConnection::Open(address, transport::ConnectionLimits{});
  if (!connection.has_value()) {
    return FleetResponse{0, "", "", connection.error().message};
  }
  const auto response = connection.value().Exchange(request, kCallTimeout);
  if (!response.has_value()) {
    return FleetResponse{0, "", "", response.error().message};
  }
  return FleetResponse{response.value().status, response.value().body,
                       response.value().Header("Laburnumkeel-Session"), ""};
}

bool Fleet::SetEndpointFault(int group, int member,
                             const std::string& fault) const {
  return this->Send(
                 EndpointAddress(this->deployment, group, member, kFaultsPort),
                 transport::HttpRequest{"POST", "/faults", {}, fault, {}})
             .status == 200;
}

bool Fleet::SetPlatformFault(const std::string& fault) const {
  return this->Send(PlatformAddress(this->deployment, kFaultsPort),
                    transport::HttpRequest{"POST", "/faults", {}, fault, {}})
             .status == 200;
}

int Fleet::FindPrimary(int group) const {
  int primary = -1;
  model::Term term = 0;
  for (int member = 0; member < kDataCentreCount; ++member) {
    const FleetResponse response = this->Send(
        EndpointAddress(this->deployment, group, member, kServicePort),
        transport::HttpRequest{"GET", "/v1/status", {}, "", {}});
    const auto status = model::EndpointStatusFromJson(
        nlohmann::json::parse(response.body, nullptr, false));
    if (status.has_value() && status->role == model::EndpointRole::kPrimary &&
        status->log_end.term >= term) {
      primary = member;
      term = status->log_end.term;
    }
  }
  return primary;
}

bool Fleet::WaitUntilReady(int vm, milliseconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (this->Send(VmAddress(this->deployment, vm, kEntryPort),
                   transport::HttpRequest{"GET", "/readyz", {}, "", {}})
            .status == 200) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

}  // namespace laburnumkeel::standin
