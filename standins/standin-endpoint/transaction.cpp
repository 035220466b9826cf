#include "standins/standin-endpoint/transaction.h"

#include <algorithm>

namespace laburnumkeel::standins {

Transaction::Transaction(model::Term term) : term(term) {}

std::optional<StatementValue> Transaction::Run(const Statement& statement,
                                               const AppliedState& state) {
  if (statement.kind == StatementKind::kGet) {
    return StatementValue{this->Read(statement.key, state)};
  }
  if (statement.kind == StatementKind::kPut) {
    this->buffered[statement.key] = statement.value;
    return StatementValue{statement.value};
  }
  const auto current =
      ParseNumber(this->Read(statement.key, state).value_or("0"));
  std::int64_t sum = 0;
  if (!current.has_value() ||
      __builtin_add_overflow(*current, statement.amount, &sum)) {
    return std::nullopt;
  }
  this->buffered[statement.key] = std::to_string(sum);
  return StatementValue{std::to_string(sum)};
}

bool Transaction::HasConflict(const AppliedState& state) const {
  return std::any_of(this->observed.begin(), this->observed.end(),
                     [&](const auto& entry) {
                       return state.Version(entry.first) != entry.second;
                     });
}

std::vector<KeyWrite> Transaction::Writes() const {
  std::vector<KeyWrite> writes;
  writes.reserve(this->buffered.size());
  for (const auto& [key, value] : this->buffered) {
    writes.push_back(KeyWrite{key, value});
  }
  return writes;
}

std::optional<std::string> Transaction::Read(const std::string& key,
                                             const AppliedState& state) {
  const auto own = this->buffered.find(key);
  if (own != this->buffered.end()) {
    return own->second;
  }
  // Only the first observation counts: a later one could hide a change that
  // earlier statements of the transaction did not read.
  this->observed.emplace(key, state.Version(key));
  return state.Value(key);
}

}  // namespace laburnumkeel::standins
