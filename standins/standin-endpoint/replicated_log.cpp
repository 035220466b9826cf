#include "standins/standin-endpoint/replicated_log.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::standins {

model::LogPosition ReplicatedLog::End() const {
  return model::LogPosition{this->TermAt(this->entries.size()),
                            this->entries.size()};
}

bool ReplicatedLog::Has(const model::LogPosition& position) const {
  return position.position <= this->entries.size() &&
         this->TermAt(position.position) == position.term;
}

const LogEntry& ReplicatedLog::At(std::uint64_t position) const {
  return this->entries[position - 1];
}

model::Term ReplicatedLog::TermAt(std::uint64_t position) const {
  return position == 0 ? 0 : this->At(position).term;
}

std::vector<LogEntry> ReplicatedLog::After(std::uint64_t position,
                                           std::size_t limit) const {
  const std::size_t begin =
      std::min<std::size_t>(position, this->entries.size());
  const std::size_t count = std::min(limit, this->entries.size() - begin);
  const auto first = this->entries.begin() + static_cast<std::ptrdiff_t>(begin);
  return {first, first + static_cast<std::ptrdiff_t>(count)};
}

std::vector<model::TermStart> ReplicatedLog::TermStarts() const {
  std::vector<model::TermStart> starts;
  // Terms ascend in the log, so each one is found by binary search: a status
  // request does not scan all entries.
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    starts.push_back(model::TermStart{
        entry->term,
        static_cast<std::uint64_t>(entry - this->entries.begin())});
    entry = std::upper_bound(entry, this->entries.end(), entry->term,
                             [](model::Term term, const LogEntry& other) {
                               return term < other.term;
                             });
  }
  return starts;
}

void ReplicatedLog::Append(LogEntry entry) {
  this->entries.push_back(std::move(entry));
}

std::optional<std::uint64_t> ReplicatedLog::Merge(
    const model::LogPosition& previous, const std::vector<LogEntry>& added) {
  if (!this->Has(previous)) {
    return std::nullopt;
  }
  std::uint64_t kept = this->entries.size();
  std::uint64_t position = previous.position;
  for (const LogEntry& entry : added) {
    ++position;
    if (this->Has(model::LogPosition{entry.term, position})) {
      continue;
    }
    if (position <= this->entries.size()) {
      this->entries.resize(position - 1);
      kept = std::min(kept, position - 1);
    }
    this->entries.push_back(entry);
  }
  return kept;
}

}  // namespace laburnumkeel::standins
