#include "laburnumkeel/configuration/configuration_builder.h"

#include "laburnumkeel/configuration/key_hash.h"

namespace laburnumkeel::configuration {

ConfigurationBuilder& ConfigurationBuilder::FleetSize(std::int64_t entry_vms) {
  this->configuration.fleet_size = entry_vms;
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddDataCentre(
    const std::string& name, const std::string& region) {
  this->configuration.data_centres.push_back(
      model::DataCentre{name, region, model::Availability::kIn});
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddService(
    const std::string& name, std::chrono::seconds isolated_serving) {
  this->configuration.services.push_back(
      model::Service{name, {}, isolated_serving.count()});
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddGroup(const std::string& name) {
  if (this->configuration.services.empty()) {
    this->AddMisuse("AddGroup", name, "after AddService");
    return *this;
  }
  this->configuration.services.back().groups.push_back(
      model::DatabaseGroup{name, {}});
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddEndpoint(
    const std::string& name, const std::string& address,
    const std::string& data_centre, std::int64_t connections,
    std::int64_t slots) {
  if (this->configuration.services.empty() ||
      this->configuration.services.back().groups.empty()) {
    this->AddMisuse("AddEndpoint", name, "after AddGroup");
    return *this;
  }
  this->configuration.services.back().groups.back().endpoints.push_back(
      model::Endpoint{name, address, data_centre, connections, slots,
                      model::Availability::kIn});
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddClientAccount(
    const std::string& name, const std::string& service, double rate,
    double burst) {
  this->configuration.client_accounts.push_back(
      model::ClientAccount{name, service, rate, burst, {}});
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddKey(
    const std::string& key_text) {
  if (this->configuration.client_accounts.empty()) {
    this->AddMisuse("AddKey", "", "after AddClientAccount");
  } else if (!KeyId(key_text).has_value()) {
    this->AddMisuse("AddKey", std::to_string(key_text.size()) + " characters",
                    "a key of the form <id>.<secret>");
  } else {
    this->configuration.client_accounts.back().keys.push_back(
        HashKey(key_text));
  }
  return *this;
}

kernel::Result<model::Configuration, std::vector<Fault>>
ConfigurationBuilder::Build() const {
  std::vector<Fault> faults = this->misuses;
  for (Fault& fault : Validate(this->configuration)) {
    faults.push_back(std::move(fault));
  }
  if (!faults.empty()) {
    return faults;
  }
  return this->configuration;
}

void ConfigurationBuilder::AddMisuse(const std::string& call,
                                     const std::string& value,
                                     const std::string& allowed) {
  this->misuses.push_back(Fault{call, value, allowed});
}

}  // namespace laburnumkeel::configuration
