#include "standins/standin-fleet/distribution_measurement.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace laburnumkeel::standin {

namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr int kChangeCount = 20;
constexpr std::chrono::seconds kDistributionTimeout{18};
constexpr std::chrono::milliseconds kCheckInterval{10};
// Spreads the changes over the poll period.
constexpr std::chrono::milliseconds kPauseBetweenChanges{730};

transport::HttpRequest AdminRequest(const std::string& method,
                                    const std::string& target,
                                    const std::string& body) {
  return transport::HttpRequest{
      method,
      target,
      {{"Authorization",
        std::string("Bearer ") + Fleet::AdministratorSecret()}},
      body,
      {}};
}

bool IsRateOnAllVms(const Fleet& fleet, double rate) {
  const Deployment& deployment = fleet.GetDeployment();
  for (int vm = 0; vm < kVmCount; ++vm) {
    const FleetResponse response =
        fleet.Send(VmAddress(deployment, vm, kAdminPort),
                   AdminRequest("GET", "/v1/configuration", ""));
    const json document = json::parse(response.body, nullptr, false);
    if (!document.is_object() ||
        document["client_accounts"][0]["rate"].get<double>() != rate) {
      return false;
    }
  }
  return true;
}

std::int64_t StoreReads(const Fleet& fleet) {
  const FleetResponse response =
      fleet.Send(PlatformAddress(fleet.GetDeployment(), kFaultsPort),
                 transport::HttpRequest{"GET", "/counters", {}, "", {}});
  const json counters = json::parse(response.body, nullptr, false);
  return counters.is_object() ? counters.value("reads", std::int64_t{0}) : 0;
}

}  // namespace

bool MeasureDistribution(Fleet& fleet) {
  const Deployment& deployment = fleet.GetDeployment();
  const std::string account = deployment.accounts.front().name;
  std::vector<double> times_ms;
  const auto began = SteadyClock::now();
  const std::int64_t reads_before = StoreReads(fleet);
  for (int change = 1; change <= kChangeCount; ++change) {
    const double rate = deployment.accounts.front().rate + change;
    const auto start = SteadyClock::now();
    std::thread operator_call([&] {
      fleet.Send(VmAddress(deployment, change % kVmCount, kAdminPort),
                 AdminRequest("PUT", "/v1/client_accounts/" + account,
                              json{{"rate", rate}}.dump()));
    });
    while (!IsRateOnAllVms(fleet, rate) &&
           SteadyClock::now() - start < kDistributionTimeout) {
      std::this_thread::sleep_for(kCheckInterval);
    }
    times_ms.push_back(
        std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
            .count());
    operator_call.join();
    std::this_thread::sleep_for(kPauseBetweenChanges);
  }
  const double seconds =
      std::chrono::duration<double>(SteadyClock::now() - began).count();
  std::sort(times_ms.begin(), times_ms.end());
  std::cout << "  " << (deployment.poll_only ? "polling" : "signal and fetch")
            << ": " << kChangeCount << " changes, held by all VMs after "
            << times_ms[times_ms.size() / 2] << " ms (median), "
            << times_ms.back() << " ms (longest); store reads a second, share "
            << "ledger included: "
            << static_cast<double>(StoreReads(fleet) - reads_before) / seconds
            << '\n';
  return times_ms.back() <
         std::chrono::milliseconds(kDistributionTimeout).count();
}

}  // namespace laburnumkeel::standin
