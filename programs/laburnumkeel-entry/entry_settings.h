#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace laburnumkeel::entry {

struct EntrySettings {
  std::string vm;
  std::string data_centre;
  std::string listen = "127.0.0.1:8080";
  // Address of the control program of this VM.
  std::string control = "127.0.0.1:7001";
  // Signs session tokens and transaction ids; equal on all VMs.
  std::string fleet_secret;
  std::int64_t request_timeout_ms = 5000;
  std::int64_t shutdown_grace_ms = 1000;
  std::int64_t maximum_connections = 8000;
  // 0 takes half of the machine's memory.
  std::int64_t memory_budget_mb = 0;
  std::int64_t receive_timeout_ms = 10000;
  std::int64_t send_timeout_ms = 30000;
  std::int64_t reserved_descriptors = 256;

  bool operator==(const EntrySettings&) const = default;
};

// Fills `settings` from the flags and the environment. Returns the exit code if
// the program must exit.
std::optional<int> ParseSettings(int argument_count,
                                 const char* const* arguments,
                                 EntrySettings& settings);

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
