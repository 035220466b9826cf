#ifndef LABURNUMKEEL_STANDINS_FLEET_DEPLOYMENT_H_
#define LABURNUMKEEL_STANDINS_FLEET_DEPLOYMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::standin {

// A client account of a deployment with its key in clear text.
struct DeploymentAccount {
  std::string name;
  double rate = 0;
  double burst = 0;
  std::string key;

  bool operator==(const DeploymentAccount&) const = default;
};

// A deployment on loopback with the size and latencies of an operator's
// installation: 3 data centres in 3 regions, 8 VMs, one service of 3 groups
// with 3 endpoints each.
struct Deployment {
  std::string service;
  std::int64_t connections = 20;
  // One-way latency between VMs or endpoints of different data centres.
  std::int64_t latency_ms = 0;
  std::int64_t replication_lag_ms = 20;
  std::vector<DeploymentAccount> accounts;
  // Every VM polls the store for the configuration, in place of signal and
  // fetch.
  bool poll_only = false;
  // Second octet of all addresses. Deployments that run at the same time need
  // different ones, so that their addresses do not collide.
  int network = 1;

  bool operator==(const Deployment&) const = default;
};

// The polishing ledger: 8 client accounts, three of them with high rates.
Deployment PolishingLedger(int network);

// The pump hire bookings: higher latency and more connections than the ledger.
Deployment FloorflowBookings(int network);

inline constexpr int kVmCount = 8;
inline constexpr int kDataCentreCount = 3;
inline constexpr int kGroupCount = 3;

// Names and addresses; data centres, VMs, groups and members count from 0.
std::string DataCentreName(int data_centre);
std::string VmName(int vm);
int DataCentreOfVm(int vm);
std::string GroupName(int group);
std::string EndpointName(int group, int member);
std::string VmAddress(const Deployment& deployment, int vm, int port);
std::string EndpointAddress(const Deployment& deployment, int group, int member,
                            int port);
std::string PlatformAddress(const Deployment& deployment, int port);

// Ports of each VM, of each endpoint and of the platform.
inline constexpr int kEntryPort = 8080;
inline constexpr int kAdminPort = 8090;
inline constexpr int kPeerPort = 7000;
inline constexpr int kLocalPort = 7001;
inline constexpr int kServicePort = 9000;
inline constexpr int kFaultsPort = 9001;

// The configuration document of the deployment, with hashed keys.
model::Configuration BuildConfiguration(const Deployment& deployment);

}  // namespace laburnumkeel::standin

#endif  // LABURNUMKEEL_STANDINS_FLEET_DEPLOYMENT_H_
