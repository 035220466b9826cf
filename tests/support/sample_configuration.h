#ifndef LABURNUMKEEL_TESTS_SUPPORT_SAMPLE_CONFIGURATION_H_
#define LABURNUMKEEL_TESTS_SUPPORT_SAMPLE_CONFIGURATION_H_

#include <string>

#include "laburnumkeel/configuration/configuration_builder.h"

namespace laburnumkeel::testing {

// A valid configuration of version 0: data centres dc1 to dc3, service
// `ledger` with group g1 and endpoints g1-dc1 to g1-dc3, accounts `large`
// (400, 200) and `small` (50, 25) without keys.
inline model::Configuration SampleConfiguration() {
  configuration::ConfigurationBuilder builder;
  builder.FleetSize(8).AddService("ledger").AddGroup("g1");
  for (const std::string digit : {"1", "2", "3"}) {
    builder.AddDataCentre("dc" + digit, "region" + digit)
        .AddEndpoint("g1-dc" + digit, "127.0.0.1:910" + digit, "dc" + digit, 20,
                     3);
  }
  builder.AddClientAccount("large", "ledger", 400, 200)
      .AddClientAccount("small", "ledger", 50, 25);
  return builder.Build().value();
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_SAMPLE_CONFIGURATION_H_
