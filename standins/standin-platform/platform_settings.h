#ifndef LABURNUMKEEL_STANDINS_PLATFORM_PLATFORM_SETTINGS_H_
#define LABURNUMKEEL_STANDINS_PLATFORM_PLATFORM_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "laburnumkeel/kernel/settings.h"

namespace laburnumkeel::standins {

// The settings of `standin-platform`.
struct PlatformSettings {
  std::string listen = "127.0.0.1:7000";
  std::string faults_listen = "127.0.0.1:7100";
  std::string latencies;
  std::string vms;
  std::int64_t vm_list_lag_ms = 5000;

  // Adds the settings; the fields hold the defaults.
  void Declare(kernel::Settings& settings);

  // Describes the first malformed list; empty when all are well formed.
  std::optional<std::string> CheckLists() const;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_PLATFORM_PLATFORM_SETTINGS_H_
