#include "laburnumkeel/usage/usage_ledger.h"

#include <algorithm>

namespace laburnumkeel::usage {

UsageLedger::Entries* UsageLedger::Open(WindowNumber window) {
  if (window <= this->settled_through) {
    return nullptr;
  }
  const auto known = this->windows.find(window);
  if (known != this->windows.end()) {
    return &known->second;
  }
  if (this->windows.size() >= kMaximumWindows) {
    if (window < this->windows.begin()->first) {
      return nullptr;
    }
    this->windows.erase(this->windows.begin());
  }
  return &this->windows[window];
}

bool UsageLedger::Count(const std::string& account, WindowNumber window) {
  Entries* entries = this->Open(window);
  if (entries == nullptr) {
    return false;
  }
  Entry& entry = (*entries)[{this->own, account}];
  entry.count = AddSaturated(entry.count, 1);
  entry.changed = ++this->last_change;
  return true;
}

void UsageLedger::Adopt(const std::vector<UsagePart>& parts) {
  for (const UsagePart& part : parts) {
    if (part.source == this->own) {
      continue;
    }
    Entries* entries = this->Open(part.window);
    if (entries == nullptr) {
      continue;
    }
    for (const auto& [account, count] : part.counts) {
      Entry& entry = (*entries)[{part.source, account}];
      if (count > entry.count) {
        entry.count = count;
        entry.changed = ++this->last_change;
      }
    }
  }
}

UsageLedger::Batch UsageLedger::ChangesSince(std::uint64_t reported,
                                             std::size_t maximum) const {
  struct Change {
    std::uint64_t number;
    WindowNumber window;
    const UsageSource* source;
    const std::string* account;
    std::uint64_t count;
  };
  std::vector<Change> changes;
  for (const auto& [window, entries] : this->windows) {
    for (const auto& [key, entry] : entries) {
      if (entry.changed > reported) {
        changes.push_back(
            {entry.changed, window, &key.first, &key.second, entry.count});
      }
    }
  }
  Batch batch;
  batch.last_change = this->last_change;
  if (changes.size() > maximum) {
    const auto by_number = [](const Change& left, const Change& right) {
      return left.number < right.number;
    };
    const auto end = changes.begin() + static_cast<std::ptrdiff_t>(maximum);
    std::nth_element(changes.begin(), end, changes.end(), by_number);
    batch.has_more = true;
    batch.last_change = end->number - 1;
    changes.erase(end, changes.end());
  }
  std::map<std::pair<WindowNumber, UsageSource>, AccountCounts> grouped;
  for (const Change& change : changes) {
    grouped[{change.window, *change.source}][*change.account] = change.count;
  }
  for (auto& [key, counts] : grouped) {
    batch.parts.push_back({key.second, key.first, std::move(counts)});
  }
  return batch;
}

void UsageLedger::OnSettled(WindowNumber through) {
  this->settled_through = std::max(this->settled_through, through);
  this->windows.erase(this->windows.begin(),
                      this->windows.upper_bound(this->settled_through));
}

}  // namespace laburnumkeel::usage
