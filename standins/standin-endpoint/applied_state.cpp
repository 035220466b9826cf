#include "standins/standin-endpoint/applied_state.h"

namespace laburnumkeel::standins {

void AppliedState::Apply(const LogEntry& entry) {
  ++this->position;
  for (const KeyWrite& write : entry.writes) {
    this->cells[write.key] = Cell{write.value, this->position};
  }
  if (!entry.idempotency_id.empty()) {
    this->results.emplace(entry.idempotency_id, entry.result);
  }
}

std::optional<std::string> AppliedState::Value(const std::string& key) const {
  const auto cell = this->cells.find(key);
  if (cell == this->cells.end()) {
    return std::nullopt;
  }
  return cell->second.value;
}

std::uint64_t AppliedState::Version(const std::string& key) const {
  const auto cell = this->cells.find(key);
  return cell == this->cells.end() ? 0 : cell->second.version;
}

std::optional<std::string> AppliedState::FirstResult(
    const std::string& idempotency_id) const {
  const auto result = this->results.find(idempotency_id);
  if (result == this->results.end()) {
    return std::nullopt;
  }
  return result->second;
}

}  // namespace laburnumkeel::standins
