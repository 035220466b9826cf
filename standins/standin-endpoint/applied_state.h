#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_APPLIED_STATE_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_APPLIED_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "standins/standin-endpoint/log_entry.h"

namespace laburnumkeel::standins {

// The keys and values that result from the applied prefix of a log.
class AppliedState {
 public:
  // Applies the entry that follows the applied position.
  void Apply(const LogEntry& entry);

  // Position of the last applied entry.
  std::uint64_t Position() const { return this->position; }

  std::optional<std::string> Value(const std::string& key) const;

  // Position of the entry that last wrote the key, 0 when there is none.
  std::uint64_t Version(const std::string& key) const;

  // The result of the first request with an idempotency id; empty without one.
  std::optional<std::string> FirstResult(
      const std::string& idempotency_id) const;

 private:
  struct Cell {
    std::string value;
    std::uint64_t version = 0;
  };

  std::uint64_t position = 0;
  std::map<std::string, Cell> cells;
  std::map<std::string, std::string> results;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_APPLIED_STATE_H_
