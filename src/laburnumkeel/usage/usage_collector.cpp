#include "laburnumkeel/usage/usage_collector.h"

#include <algorithm>

namespace laburnumkeel::usage {

using kernel::Instant;

std::string_view ToString(UsageRefusal refusal) {
  switch (refusal) {
    case UsageRefusal::kSettled:
      return "the window is settled";
    case UsageRefusal::kFuture:
      return "the window is in the future";
    case UsageRefusal::kPast:
      return "the window is too old";
    case UsageRefusal::kImplausible:
      return "the count is implausible";
    case UsageRefusal::kTooMany:
      return "there are too many counts";
  }
  return "unknown";
}

std::vector<RefusedUsage> UsageCollector::Merge(const UsagePart& part,
                                                WindowNumber current) {
  const auto refuse = [&](UsageRefusal refusal) {
    return std::vector<RefusedUsage>{{part.source, part.window, "", refusal}};
  };
  if (part.window <= this->settled_through) {
    return refuse(UsageRefusal::kSettled);
  }
  if (part.window > current + kMaximumFuture) {
    return refuse(UsageRefusal::kFuture);
  }
  if (part.window < current - kMaximumPast) {
    return refuse(UsageRefusal::kPast);
  }
  std::vector<RefusedUsage> refused;
  for (const auto& [account, count] : part.counts) {
    if (account.empty() || count > kMaximumCount) {
      refused.push_back(
          {part.source, part.window, account, UsageRefusal::kImplausible});
      continue;
    }
    AccountCounts& counts = this->windows[part.window][part.source];
    auto known = counts.find(account);
    if (known == counts.end()) {
      if (this->entries >= kMaximumEntries) {
        refused.push_back(
            {part.source, part.window, account, UsageRefusal::kTooMany});
        continue;
      }
      ++this->entries;
      known = counts.emplace(account, 0).first;
    }
    known->second = std::max(known->second, count);
  }
  return refused;
}

void UsageCollector::OnHeard(const UsageSource& source, Instant now) {
  this->processes[source.vm] = {source, now};
}

void UsageCollector::OnSettled(WindowNumber through) {
  this->settled_through = std::max(this->settled_through, through);
  while (!this->windows.empty() &&
         this->windows.begin()->first <= this->settled_through) {
    for (const auto& [source, counts] : this->windows.begin()->second) {
      this->entries -= counts.size();
    }
    this->windows.erase(this->windows.begin());
  }
}

AccountCounts UsageCollector::Total(
    WindowNumber window, const std::set<std::string>& known_accounts,
    std::set<std::string>& unknown_accounts) const {
  AccountCounts total;
  const auto found = this->windows.find(window);
  if (found == this->windows.end()) {
    return total;
  }
  for (const auto& [source, counts] : found->second) {
    for (const auto& [account, count] : counts) {
      if (known_accounts.contains(account)) {
        total[account] = AddSaturated(total[account], count);
      } else {
        unknown_accounts.insert(account);
      }
    }
  }
  return total;
}

std::optional<WindowNumber> UsageCollector::EarliestWindow() const {
  if (this->windows.empty()) {
    return std::nullopt;
  }
  return this->windows.begin()->first;
}

std::optional<Instant> UsageCollector::LastHeard(const std::string& vm) const {
  const auto process = this->processes.find(vm);
  if (process == this->processes.end()) {
    return std::nullopt;
  }
  return process->second.heard;
}

std::vector<UsagePart> UsageCollector::PartsOfSilentProcesses(
    Instant since) const {
  std::vector<UsagePart> parts;
  for (const auto& [window, by_source] : this->windows) {
    for (const auto& [source, counts] : by_source) {
      const auto process = this->processes.find(source.vm);
      const bool is_live = process != this->processes.end() &&
                           process->second.source == source &&
                           process->second.heard >= since;
      if (!is_live) {
        parts.push_back({source, window, counts});
      }
    }
  }
  return parts;
}

}  // namespace laburnumkeel::usage
