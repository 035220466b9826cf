#ifndef LABURNUMKEEL_TESTS_SUPPORT_ENDPOINT_ENTRY_H_
#define LABURNUMKEEL_TESTS_SUPPORT_ENDPOINT_ENTRY_H_

#include <nlohmann/json.hpp>
#include <string>

namespace laburnumkeel::testing {

// The entry of a replica of service `s` in data centre `dc`, as it registers
// itself.
inline nlohmann::json EndpointEntry(const std::string& address) {
  return {{"service", "s"},
          {"address", address},
          {"zone", "dc"},
          {"version", "v1"},
          {"slots", 3},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"database_role", "replica"},
          {"sequence", 4}};
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_ENDPOINT_ENTRY_H_
