#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_LOG_ENTRY_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_LOG_ENTRY_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::standins {

// The value that a write gave to a key.
struct KeyWrite {
  std::string key;
  std::string value;

  bool operator==(const KeyWrite&) const = default;
};

// One entry of the replicated log. A term-start entry has no writes.
struct LogEntry {
  model::Term term = 0;
  std::vector<KeyWrite> writes;
  // Scoped to the client account; empty without one.
  std::string idempotency_id;
  // Result of the first execution, returned to repeated requests.
  std::string result;

  bool operator==(const LogEntry&) const = default;
};

nlohmann::json ToJson(const LogEntry& entry);

// Throws nlohmann::json::exception on a missing field or a wrong type.
LogEntry LogEntryFromJson(const nlohmann::json& document);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_LOG_ENTRY_H_
