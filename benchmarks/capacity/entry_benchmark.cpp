#include "benchmarks/capacity/entry_benchmark.h"

#include <sys/resource.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "benchmarks/capacity/process_usage.h"
#include "benchmarks/capacity/series.h"
#include "benchmarks/capacity/watch_benchmark.h"
#include "laburnumkeel/transport/http_connection.h"
#include "programs/laburnumkeel-load/load_generator.h"
#include "standins/standin-fleet/fleet.h"

namespace laburnumkeel::benchmarks {

namespace {

using std::chrono::seconds;

constexpr int kNetwork = 31;
constexpr int kMeasuredVm = 0;
constexpr double kMebibyte = 1024.0 * 1024;
constexpr double kMicrosecondsInSecond = 1e6;
constexpr double kPercent = 100;
constexpr std::chrono::milliseconds kExchangeTimeout{5000};
constexpr seconds kIdlePeriod{10};
constexpr seconds kConnectedPeriod{5};
constexpr seconds kLoadPeriod{10};
constexpr seconds kWarmUp{5};
constexpr double kStatementsPerSecond = 700;
// Each entry program accepts 3,430 connections and inherits the limit of open
// files from the process that starts it.
constexpr rlim_t kFileLimit = 16384;

void RaiseFileLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < kFileLimit) {
    limit.rlim_cur = std::min(kFileLimit, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

// Without network latency, and with account rates that let one VM serve 700
// statements per second while the other VMs keep their reserve shares.
standin::Deployment MakeDeployment() {
  standin::Deployment deployment = standin::PolishingLedger(kNetwork);
  constexpr double kAccountRate = 200;
  deployment.latency_ms = 0;
  for (standin::DeploymentAccount& account : deployment.accounts) {
    account.rate = kAccountRate;
    account.burst = kAccountRate;
  }
  return deployment;
}

struct VmUsage {
  ProcessUsage entry;
  ProcessUsage control;
  ProcessUsage administration;
};

VmUsage ReadVm(standin::Fleet& fleet) {
  const standin::VmProcesses& vm = fleet.Vm(kMeasuredVm);
  return VmUsage{ReadUsage(vm.entry.Id()), ReadUsage(vm.control.Id()),
                 ReadUsage(vm.administration.Id())};
}

void PrintProcess(const std::string& name, const ProcessUsage& before,
                  const ProcessUsage& after, double elapsed_s) {
  const double used = after.processor_seconds - before.processor_seconds;
  std::cout << "  " << name << ": " << used / elapsed_s * kPercent
            << "% of a core, " << after.resident_bytes / kMebibyte
            << " MiB resident, " << after.threads << " threads\n";
}

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

void PrintUsage(const VmUsage& before, const VmUsage& after, double elapsed_s) {
  PrintProcess("entry", before.entry, after.entry, elapsed_s);
  PrintProcess("control", before.control, after.control, elapsed_s);
  PrintProcess("administration", before.administration, after.administration,
               elapsed_s);
}

void MeasureIdle(standin::Fleet& fleet) {
  const VmUsage before = ReadVm(fleet);
  const auto start = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kIdlePeriod);
  std::cout << "\nprocesses of one VM of 8, idle for 10 s\n";
  PrintUsage(before, ReadVm(fleet), SecondsSince(start));
}

using Connections = std::vector<transport::HttpConnection>;

// Opens connections until there are `count`. Sends one request on each, so that
// its buffers are allocated. Returns false when a connection or request failed.
bool OpenConnections(const std::string& address, std::size_t count,
                     Connections& connections) {
  while (connections.size() < count) {
    auto connection =
        transport::HttpConnection::Open(address, transport::ConnectionLimits{});
    if (!connection.has_value() ||
        !connection.value()
             .Exchange({"GET", "/healthz", {}, "", {}}, kExchangeTimeout)
             .has_value()) {
      return false;
    }
    connections.push_back(std::move(connection.value()));
  }
  return true;
}

bool MeasureConnections(standin::Fleet& fleet, Connections& connections) {
  const std::string address =
      VmAddress(fleet.GetDeployment(), kMeasuredVm, standin::kEntryPort);
  Series series("entry process with idle keep-alive connections",
                "connections");
  for (const std::size_t count : {0U, 1000U, 2000U, 3430U}) {
    if (!OpenConnections(address, count, connections)) {
      std::cout << "connection " << connections.size() + 1 << " failed\n";
      return false;
    }
    const ProcessUsage before = ReadVm(fleet).entry;
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kConnectedPeriod);
    const double elapsed_s = SecondsSince(start);
    const ProcessUsage after = ReadVm(fleet).entry;
    const auto size = static_cast<double>(count);
    series.Add("resident, bytes", size, after.resident_bytes);
    series.Add("threads", size, after.threads);
    series.Add("processor, us a second", size,
               (after.processor_seconds - before.processor_seconds) *
                   kMicrosecondsInSecond / elapsed_s);
  }
  series.Print();
  return true;
}

load::LoadPlan MakePlan(const standin::Deployment& deployment) {
  load::LoadPlan plan;
  plan.targets = {VmAddress(deployment, kMeasuredVm, standin::kEntryPort)};
  plan.service = deployment.service;
  for (int group = 0; group < standin::kGroupCount; ++group) {
    plan.groups.push_back(standin::GroupName(group));
  }
  for (const standin::DeploymentAccount& account : deployment.accounts) {
    const double offered =
        kStatementsPerSecond / static_cast<double>(deployment.accounts.size());
    plan.accounts.push_back(load::LoadAccount{account.name, account.key,
                                              account.rate, account.burst,
                                              offered / account.rate});
  }
  plan.duration = kLoadPeriod;
  plan.warm_up = kWarmUp;
  return plan;
}

// Runs while the idle connections are still open.
void MeasureLoad(standin::Fleet& fleet, std::size_t connections) {
  load::LoadReport report;
  VmUsage before;
  std::chrono::steady_clock::time_point start;
  std::thread sampler([&] {
    std::this_thread::sleep_for(kWarmUp);
    before = ReadVm(fleet);
    start = std::chrono::steady_clock::now();
  });
  RunLoad(MakePlan(fleet.GetDeployment()), report);
  sampler.join();
  const double elapsed_s = SecondsSince(start);
  const VmUsage after = ReadVm(fleet);
  const nlohmann::json measures = report.ToJson();
  const double offered = measures.value("within_rate", 0.0);
  const double failed = measures.value("failed", 0.0);
  const double refused = measures.value("refused_within_rate", 0.0);
  const double served = (offered - failed - refused) / elapsed_s;
  std::cout << "\nprocesses of one VM under load on its entry process, with "
            << connections << " idle connections\n  offered "
            << offered / elapsed_s << " statements a second, served " << served
            << ", refused " << refused << ", failed " << failed
            << ", replica reads "
            << measures.value("replica_read_share", 0.0) * kPercent << "%, p50 "
            << measures.value("p50_ms", 0.0) << " ms, p99 "
            << measures.value("p99_ms", 0.0) << " ms\n";
  PrintUsage(before, after, elapsed_s);
  const double used =
      after.entry.processor_seconds - before.entry.processor_seconds;
  std::cout << "  entry: " << used / elapsed_s / served * kMicrosecondsInSecond
            << " us of processor time for each served statement\n";
}

}  // namespace

bool MeasureEntry(const std::string& binaries, const std::string& logs) {
  RaiseFileLimit();
  standin::Fleet fleet(MakeDeployment(), binaries, logs);
  if (!fleet.Start()) {
    std::cout << "the fleet did not become ready, see " << logs << "\n";
    return false;
  }
  // Gives connection pools time to become warm and VMs time to acquire their
  // shares.
  std::this_thread::sleep_for(kWarmUp);
  MeasureIdle(fleet);
  MeasureWatches(fleet.GetDeployment());
  Connections connections;
  const bool is_connected = MeasureConnections(fleet, connections);
  MeasureLoad(fleet, connections.size());
  connections.clear();
  const int unclean = fleet.Stop();
  std::cout << "  programs without exit code 0 at the end: " << unclean << "\n";
  return is_connected && unclean == 0;
}

}  // namespace laburnumkeel::benchmarks
