#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "laburnumkeel/kernel/settings.h"

namespace laburnumkeel::standins {

// The settings of `standin-endpoint`.
struct EndpointSettings {
  std::string name;
  std::string group;
  std::string data_centre;
  std::string listen = "127.0.0.1:7001";
  std::string faults_listen = "127.0.0.1:7101";
  std::string members;
  std::string latencies;
  bool initial_primary = false;
  bool record_received = false;
  std::int64_t slots = 3;
  std::int64_t connect_delay_ms = 10;
  std::int64_t statement_ms = 2;
  std::int64_t replication_lag_ms = 0;

  // Adds the settings; the fields hold the defaults.
  void Declare(kernel::Settings& settings);

  // Describes the first malformed list; empty when all are well formed.
  std::optional<std::string> CheckLists() const;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_
