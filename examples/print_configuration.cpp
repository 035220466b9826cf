// Prints the configuration document of a fleet with three data centres, one
// service of three groups and eight client accounts. The API keys of the
// accounts are written to standard error, since the document contains only
// their hashes:
//   print_configuration > configuration.json 2> keys.txt

#include <array>
#include <iostream>
#include <string>

#include "laburnumkeel/configuration/configuration_builder.h"
#include "laburnumkeel/configuration/key_hash.h"
#include "laburnumkeel/model/configuration_codec.h"

namespace {

using laburnumkeel::configuration::ConfigurationBuilder;
using laburnumkeel::configuration::Fault;
using laburnumkeel::configuration::GeneratedKey;
using laburnumkeel::configuration::GenerateKey;

constexpr std::int64_t kConnections = 20;
constexpr std::int64_t kSlots = 3;
constexpr int kFirstPort = 9100;

void AddGroups(ConfigurationBuilder& builder) {
  const std::array data_centres{"dc1", "dc2", "dc3"};
  int port = kFirstPort;
  for (const std::string group : {"g1", "g2", "g3"}) {
    builder.AddGroup(group);
    for (const std::string data_centre : data_centres) {
      builder.AddEndpoint(group + "-" + data_centre,
                          "127.0.0.1:" + std::to_string(port), data_centre,
                          kConnections, kSlots);
      ++port;
    }
  }
}

void AddAccount(ConfigurationBuilder& builder, const std::string& name,
                double rate) {
  const GeneratedKey key = GenerateKey();
  builder.AddClientAccount(name, "ledger", rate, rate / 2).AddKey(key.text);
  std::cerr << name << ' ' << key.text << '\n';
}

}  // namespace

int main() {
  ConfigurationBuilder builder;
  builder.FleetSize(8)
      .AddDataCentre("dc1", "region1")
      .AddDataCentre("dc2", "region2")
      .AddDataCentre("dc3", "region3")
      .AddService("ledger");
  AddGroups(builder);
  for (const std::string name : {"account1", "account2"}) {
    AddAccount(builder, name, 400);
  }
  for (const std::string name : {"account3", "account4", "account5", "account6",
                                 "account7", "account8"}) {
    AddAccount(builder, name, 50);
  }
  const auto configuration = builder.Build();
  if (!configuration.has_value()) {
    for (const Fault& fault : configuration.error()) {
      std::cerr << ToString(fault) << '\n';
    }
    return 1;
  }
  std::cout << laburnumkeel::model::Encode(configuration.value()) << '\n';
  return 0;
}
