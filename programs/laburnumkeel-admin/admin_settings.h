#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_SETTINGS_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_SETTINGS_H_

#include <cstdint>
#include <string>

#include "laburnumkeel/kernel/settings.h"

namespace laburnumkeel::admin {

// The settings of the administration program with their defaults.
struct AdminSettings {
  std::string listen = "127.0.0.1:8090";
  std::string control_address = "127.0.0.1:7001";
  std::string admin_secret;
  std::int64_t control_timeout_ms = 10000;
  std::int64_t shutdown_grace_ms = 1000;

  void Declare(kernel::Settings& settings);
};

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_SETTINGS_H_
