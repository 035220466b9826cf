#include "laburnumkeel/limits/share_holdings.h"

#include <algorithm>

namespace laburnumkeel::limits {

namespace {

// Adding and subtracting accumulates rounding errors. After this many changes
// they are still far below the smallest unit that VMs exchange.
constexpr std::size_t kChangesBetweenSums = 4096;

}  // namespace

void ShareHoldings::Expire(kernel::Instant now) {
  while (!this->by_expiry.empty()) {
    const auto oldest = this->entries.find(this->by_expiry.front());
    if (now < oldest->second.expires_at) {
      return;
    }
    this->Erase(oldest);
  }
}

ShareHoldings::Holding ShareHoldings::Find(const std::string& vm) const {
  const auto found = this->entries.find(vm);
  return found == this->entries.end() ? Holding() : found->second.holding;
}

void ShareHoldings::Set(const std::string& vm, const Holding& holding,
                        kernel::Instant expires_at) {
  const auto [entry, is_new] = this->entries.try_emplace(vm);
  Entry& value = entry->second;
  if (is_new) {
    value.place = this->by_expiry.insert(this->by_expiry.end(), vm);
  } else {
    this->counted = this->counted - value.holding.counted;
    this->demand -= value.holding.demand;
    this->by_expiry.splice(this->by_expiry.end(), this->by_expiry, value.place);
  }
  value.holding = holding;
  value.expires_at = expires_at;
  this->counted = this->counted + holding.counted;
  this->demand += holding.demand;
  if (++this->changes >= kChangesBetweenSums) {
    this->Recompute();
  }
}

void ShareHoldings::Remove(const std::string& vm) {
  const auto found = this->entries.find(vm);
  if (found != this->entries.end()) {
    this->Erase(found);
  }
}

void ShareHoldings::Erase(Entries::iterator entry) {
  this->counted = this->counted - entry->second.holding.counted;
  this->demand -= entry->second.holding.demand;
  this->by_expiry.erase(entry->second.place);
  this->entries.erase(entry);
  if (this->entries.empty()) {
    this->Recompute();
  }
}

void ShareHoldings::Recompute() {
  this->counted = ShareAmount();
  this->demand = 0;
  for (const auto& [vm, entry] : this->entries) {
    this->counted = this->counted + entry.holding.counted;
    this->demand += entry.holding.demand;
  }
  this->changes = 0;
}

ShareAmount ShareHoldings::CountedByOthers(const std::string& vm) const {
  return NotNegative(this->counted - this->Find(vm).counted);
}

double ShareHoldings::DemandOfOthers(const std::string& vm) const {
  return std::max(0.0, this->demand - this->Find(vm).demand);
}

std::size_t ShareHoldings::OtherVms(const std::string& vm) const {
  return this->entries.size() - this->entries.count(vm);
}

}  // namespace laburnumkeel::limits
