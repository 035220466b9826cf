#include "laburnumkeel/statements/session_values.h"

#include <algorithm>

namespace laburnumkeel::statements {

namespace {

// Memory of an entry of a table, besides its name and value.
constexpr std::size_t kEntryBytes = 192;

}  // namespace

bool ConnectionValues::IsSubsetOf(
    const std::map<std::string, std::string>& session_values) const {
  return std::all_of(
      this->values.begin(), this->values.end(),
      [&](const auto& held) { return session_values.contains(held.first); });
}

ConnectionSetup ConnectionValues::PlanSetup(
    const std::map<std::string, std::string>& session_values,
    const std::optional<PreparedShape>& shape) {
  ConnectionSetup setup;
  if (!this->IsSubsetOf(session_values)) {
    setup.discard = true;
    this->values.clear();
    this->prepared_names.clear();
    this->bytes = 0;
  }
  for (const auto& [name, value] : session_values) {
    const auto held = this->values.find(name);
    if (held != this->values.end() && held->second == value) {
      continue;
    }
    setup.values.emplace_back(name, value);
    this->bytes += value.size();
    if (held != this->values.end()) {
      this->bytes -= held->second.size();
      held->second = value;
    } else {
      this->bytes += kEntryBytes + name.size();
      this->values.emplace(name, value);
    }
  }
  if (!shape) {
    return setup;
  }
  std::string new_name = "p";
  new_name += std::to_string(this->prepared_names.size());
  const auto [entry, is_new] =
      this->prepared_names.try_emplace(*shape, std::move(new_name));
  setup.prepared_name = entry->second;
  if (is_new) {
    this->bytes += kEntryBytes + shape->shape.size();
    setup.prepare.emplace(entry->second, *shape);
  }
  return setup;
}

}  // namespace laburnumkeel::statements
