#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace laburnumkeel::control {

struct ControlSettings {
  std::string vm;
  std::string data_centre;
  // Listen addresses for peers and for the other programs of this VM.
  std::string peer_listen = "127.0.0.1:7000";
  std::string local_listen = "127.0.0.1:7001";
  std::string platform = "127.0.0.1:9000";
  std::int64_t platform_timeout_ms = 1000;
  // Part of each account's limit that stays usable in a store outage.
  std::int64_t reserve_percent = 40;
  // Every VM reads the store once a second and signals no versions.
  bool poll_only = false;
  std::int64_t reserve_lifetime_s = std::int64_t{12} * 3600;
  // Limits of the Thrift ports.
  std::int64_t peer_maximum_connections = 2000;
  std::int64_t peer_receive_timeout_ms = 30000;

  bool operator==(const ControlSettings&) const = default;
};

// Fills `settings` from flags and environment variables. Returns the exit code
// when the program has to exit.
std::optional<int> ParseSettings(int argument_count,
                                 const char* const* arguments,
                                 ControlSettings& settings);

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_
