#include "laburnumkeel/limits/entry_observer.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::limits {

namespace {

LedgerEntry WithoutDynamic(LedgerEntry entry) {
  std::map<std::string, AccountShares> reserves;
  for (const auto& [account, shares] : entry.accounts) {
    if (!IsZero(shares.reserve)) {
      reserves[account] = AccountShares{ShareAmount{}, shares.reserve, 0};
    }
  }
  return LedgerEntry{std::move(entry.vm), std::move(entry.incarnation),
                     entry.sequence, entry.configuration_version,
                     std::move(reserves)};
}

}  // namespace

void EntryObserver::Observe(const ShareLedger& ledger, kernel::Instant now) {
  std::map<std::string, Observation> current;
  for (const LedgerEntry& entry : ledger.entries) {
    const auto known = this->observations.find(entry.incarnation);
    const bool is_unchanged = known != this->observations.end() &&
                              known->second.sequence == entry.sequence;
    current[entry.incarnation] =
        is_unchanged ? known->second : Observation{entry.sequence, now};
  }
  this->observations = std::move(current);
}

bool EntryObserver::IsDynamicExpired(const LedgerEntry& entry,
                                     kernel::Instant now) const {
  return this->IsUnchangedFor(entry, RemovalAge(this->lifetimes.dynamic), now);
}

bool EntryObserver::IsReserveExpired(const LedgerEntry& entry,
                                     kernel::Instant now) const {
  return this->IsUnchangedFor(entry, RemovalAge(this->lifetimes.reserve), now);
}

bool EntryObserver::HasExpiredShares(const LedgerEntry& entry,
                                     kernel::Instant now) const {
  if (this->IsReserveExpired(entry, now)) {
    return true;
  }
  return this->IsDynamicExpired(entry, now) &&
         std::any_of(
             entry.accounts.begin(), entry.accounts.end(),
             [](const auto& item) { return !IsZero(item.second.dynamic); });
}

ShareLedger EntryObserver::WithoutExpired(const ShareLedger& ledger,
                                          kernel::Instant now) const {
  ShareLedger remaining;
  for (const LedgerEntry& entry : ledger.entries) {
    if (!this->IsDynamicExpired(entry, now)) {
      remaining.entries.push_back(entry);
      continue;
    }
    LedgerEntry reduced = WithoutDynamic(entry);
    if (!reduced.accounts.empty() && !this->IsReserveExpired(entry, now)) {
      remaining.entries.push_back(std::move(reduced));
    }
  }
  return remaining;
}

bool EntryObserver::IsUnchangedFor(const LedgerEntry& entry,
                                   kernel::Duration lifetime,
                                   kernel::Instant now) const {
  const auto known = this->observations.find(entry.incarnation);
  return known != this->observations.end() &&
         known->second.sequence == entry.sequence &&
         now - known->second.since >= lifetime;
}

}  // namespace laburnumkeel::limits
