#ifndef LABURNUMKEEL_LIMITS_ENTRY_OBSERVER_H_
#define LABURNUMKEEL_LIMITS_ENTRY_OBSERVER_H_

#include <cstdint>
#include <map>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_ledger.h"
#include "laburnumkeel/limits/share_lifetimes.h"

namespace laburnumkeel::limits {

// Finds entries of other VMs that are no longer renewed. Clocks of different
// machines cannot be compared, so it measures on its own clock how long a
// sequence number has stood still. Not thread-safe.
class EntryObserver {
 public:
  explicit EntryObserver(const ShareLifetimes& lifetimes)
      : lifetimes(lifetimes) {}

  // Records the sequence numbers of a ledger that was read before `now`.
  void Observe(const ShareLedger& ledger, kernel::Instant now);

  // True when the entry's dynamic shares have certainly expired.
  bool IsDynamicExpired(const LedgerEntry& entry, kernel::Instant now) const;
  // True when the entry's reserve shares have certainly expired.
  bool IsReserveExpired(const LedgerEntry& entry, kernel::Instant now) const;

  // True when the entry still shows shares that have certainly expired.
  bool HoldsExpired(const LedgerEntry& entry, kernel::Instant now) const;

  // The ledger without expired shares and without entries that hold none.
  ShareLedger WithoutExpired(const ShareLedger& ledger,
                             kernel::Instant now) const;

 private:
  struct Observation {
    std::uint64_t sequence = 0;
    kernel::Instant since;
  };

  bool IsUnchangedFor(const LedgerEntry& entry, kernel::Duration lifetime,
                      kernel::Instant now) const;

  ShareLifetimes lifetimes;
  std::map<std::string, Observation> observations;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ENTRY_OBSERVER_H_
