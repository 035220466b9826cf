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
// machines cannot be compared, so the local clock measures how long a sequence
// number has not changed. Not thread-safe.
class EntryObserver {
 public:
  explicit EntryObserver(const ShareLifetimes& lifetimes)
      : lifetimes(lifetimes) {}

  // Records the sequence numbers of a ledger that was read before `now`.
  void Observe(const ShareLedger& ledger, kernel::Instant now);

  // True when the entry's dynamic shares are known to have expired.
  bool IsDynamicExpired(const LedgerEntry& entry, kernel::Instant now) const;
  // True when the entry's reserve shares are known to have expired.
  bool IsReserveExpired(const LedgerEntry& entry, kernel::Instant now) const;

  // True when the entry still contains shares that are known to have expired.
  bool HasExpiredShares(const LedgerEntry& entry, kernel::Instant now) const;

  // The ledger without expired shares, and without entries whose dynamic shares
  // have expired and that have no valid reserve shares.
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
