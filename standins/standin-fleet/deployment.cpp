#include "standins/standin-fleet/deployment.h"

#include "laburnumkeel/configuration/key_hash.h"

namespace laburnumkeel::standin {

namespace {

constexpr std::int64_t kSlots = 3;

// A fixed key for tests; operators get random ones from the administration
// program.
DeploymentAccount Account(const std::string& name, double rate, double burst) {
  return DeploymentAccount{name, rate, burst,
                           name + "-key.0123456789abcdef0123456789abcdef"};
}

}  // namespace

Deployment PolishingLedger(int network) {
  return Deployment{"ledger",
                    20,
                    8,
                    20,
                    {Account("maan", 200, 100), Account("zarqa", 150, 80),
                     Account("aqaba", 150, 80), Account("petra", 40, 20),
                     Account("shobak", 30, 15), Account("tafila", 30, 15),
                     Account("karak", 20, 10), Account("mudawwara", 20, 10)},
                    false,
                    network};
}

Deployment FloorflowBookings(int network) {
  return Deployment{"bookings",
                    40,
                    20,
                    20,
                    {Account("hobart", 150, 80), Account("launceston", 100, 50),
                     Account("devonport", 60, 30), Account("burnie", 30, 15),
                     Account("kingston", 20, 10), Account("sorell", 20, 10),
                     Account("huonville", 10, 10), Account("smithton", 10, 10)},
                    false,
                    network};
}

std::string DataCentreName(int data_centre) {
  return "dc" + std::to_string(data_centre + 1);
}

std::string VmName(int vm) { return "vm" + std::to_string(vm + 1); }

int DataCentreOfVm(int vm) { return vm % kDataCentreCount; }

std::string GroupName(int group) { return "g" + std::to_string(group + 1); }

std::string EndpointName(int group, int member) {
  return GroupName(group) + "-" + DataCentreName(member);
}

std::string VmAddress(const Deployment& deployment, int vm, int port) {
  return "127." + std::to_string(deployment.network) + ".1." +
         std::to_string(vm + 1) + ":" + std::to_string(port);
}

std::string EndpointAddress(const Deployment& deployment, int group, int member,
                            int port) {
  return "127." + std::to_string(deployment.network) + ".2." +
         std::to_string(group * kDataCentreCount + member + 1) + ":" +
         std::to_string(port);
}

std::string PlatformAddress(const Deployment& deployment, int port) {
  return "127." + std::to_string(deployment.network) +
         ".3.1:" + std::to_string(port);
}

model::Configuration BuildConfiguration(const Deployment& deployment) {
  model::Configuration configuration;
  configuration.fleet_size = kVmCount;
  model::Service service{deployment.service, {}, 0};
  for (int centre = 0; centre < kDataCentreCount; ++centre) {
    configuration.data_centres.push_back(model::DataCentre{
        DataCentreName(centre), "region" + std::to_string(centre + 1),
        model::Availability::kIn});
  }
  for (int group = 0; group < kGroupCount; ++group) {
    model::DatabaseGroup members{GroupName(group), {}};
    for (int member = 0; member < kDataCentreCount; ++member) {
      members.endpoints.push_back(model::Endpoint{
          EndpointName(group, member),
          EndpointAddress(deployment, group, member, kServicePort),
          DataCentreName(member), deployment.connections, kSlots,
          model::Availability::kIn});
    }
    service.groups.push_back(members);
  }
  configuration.services.push_back(service);
  for (const DeploymentAccount& account : deployment.accounts) {
    configuration.client_accounts.push_back(
        model::ClientAccount{account.name,
                             deployment.service,
                             account.rate,
                             account.burst,
                             {configuration::HashKey(account.key)}});
  }
  return configuration;
}

}  // namespace laburnumkeel::standin
