#ifndef LABURNUMKEEL_LIMITS_WRITE_ATTEMPTS_H_
#define LABURNUMKEEL_LIMITS_WRITE_ATTEMPTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_ledger.h"

namespace laburnumkeel::limits {

// One attempt of a VM to write its entry.
struct WriteAttempt {
  // Version of the row that the write replaces.
  std::uint64_t base_version = 0;
  kernel::Instant sent;
  LedgerEntry entry;
};

// Tracks the VM's writes to the ledger and what the VM may use because of them:
// a write raises shares only once it is known to be committed, and a write that
// may still be committed lowers them at once. Not thread-safe.
class WriteAttempts {
 public:
  // Records an attempt before it is sent.
  void Add(const WriteAttempt& attempt);

  // Removes an attempt that has not taken effect and cannot take effect later.
  void Remove(std::uint64_t sequence);

  // Resolves undecided attempts from the row as it was read. `own` is the VM's
  // entry in the row, null when there is none.
  void Resolve(const LedgerEntry* own, std::uint64_t row_version);

  // Shares that the VM may use.
  AccountShares Usable(const std::string& account) const;
  std::vector<std::string> Accounts() const;

  // When the committed write was sent; its shares' lifetimes start here.
  kernel::Instant LeaseStart() const { return this->lease_start; }
  // True when a write may still be committed.
  bool HasUndecided() const { return !this->undecided.empty(); }
  std::uint64_t CommittedSequence() const { return this->committed.sequence; }
  // Demand and shares that the ledger shows for this VM.
  const LedgerEntry& Committed() const { return this->committed; }

 private:
  LedgerEntry committed;
  kernel::Instant lease_start;
  std::vector<WriteAttempt> undecided;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_WRITE_ATTEMPTS_H_
