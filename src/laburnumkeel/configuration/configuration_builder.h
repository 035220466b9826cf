#ifndef LABURNUMKEEL_CONFIGURATION_CONFIGURATION_BUILDER_H_
#define LABURNUMKEEL_CONFIGURATION_CONFIGURATION_BUILDER_H_

#include <chrono>
#include <string>
#include <vector>

#include "laburnumkeel/configuration/validation.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// Builds a configuration in C++, for programs of operators. A group belongs to
// the service added last, an endpoint to the group added last and a key to the
// client account added last.
class ConfigurationBuilder {
 public:
  ConfigurationBuilder& FleetSize(std::int64_t entry_vms);
  ConfigurationBuilder& AddDataCentre(const std::string& name,
                                      const std::string& region);
  // `isolated_serving` is how long an isolated VM continues to serve requests
  // with keys. Above 0 s, a revoked key may work there for longer than 5 s.
  ConfigurationBuilder& AddService(
      const std::string& name,
      std::chrono::seconds isolated_serving = std::chrono::seconds(0));
  ConfigurationBuilder& AddGroup(const std::string& name);
  // `address` is `IP:port`. `connections` and `slots` are totals for the whole
  // fleet.
  ConfigurationBuilder& AddEndpoint(const std::string& name,
                                    const std::string& address,
                                    const std::string& data_centre,
                                    std::int64_t connections,
                                    std::int64_t slots);
  // `rate` (requests per second) and `burst` (requests) are limits for the
  // whole fleet.
  ConfigurationBuilder& AddClientAccount(const std::string& name,
                                         const std::string& service,
                                         double rate, double burst);
  // Stores the hash of a key of the form `<id>.<secret>`, which `GenerateKey`
  // produces.
  ConfigurationBuilder& AddKey(const std::string& key_text);

  // The configuration, or all its faults, including calls in the wrong order.
  kernel::Result<model::Configuration, std::vector<Fault>> Build() const;

 private:
  void AddMisuse(const std::string& call, const std::string& value,
                 const std::string& allowed);

  model::Configuration configuration;
  std::vector<Fault> misuses;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_CONFIGURATION_BUILDER_H_
