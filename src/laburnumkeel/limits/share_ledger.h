#ifndef LABURNUMKEEL_LIMITS_SHARE_LEDGER_H_
#define LABURNUMKEEL_LIMITS_SHARE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laburnumkeel/limits/account_limit.h"
#include "laburnumkeel/limits/share_amount.h"

namespace laburnumkeel::limits {

// Key of the ledger's row in the table service.
inline constexpr char kLedgerKey[] = "limits/ledger";

// Shares and demand of one account on one VM.
struct AccountShares {
  ShareAmount dynamic;
  ShareAmount reserve;
  // Requests a second that callers send to this VM.
  double demand = 0;

  bool operator==(const AccountShares&) const = default;
};

ShareAmount Total(const AccountShares& shares);

// The smaller of each pair of amounts, and the demand of `left`.
AccountShares Smaller(const AccountShares& left, const AccountShares& right);

// Shares of one incarnation of a VM. Only that incarnation writes the entry;
// others may remove shares that expired.
struct LedgerEntry {
  std::string vm;
  std::string incarnation;
  // A new number for each attempt to write the entry, so that the number in the
  // row identifies the attempt that was committed.
  std::uint64_t sequence = 0;
  // Configuration whose limits the VM applied when it wrote the entry.
  std::uint64_t configuration_version = 0;
  // By account name.
  std::map<std::string, AccountShares> accounts;

  bool operator==(const LedgerEntry&) const = default;
};

// The entry's shares of an account, zero when it has none.
AccountShares SharesOf(const LedgerEntry& entry, const std::string& account);

struct ShareLedger {
  std::vector<LedgerEntry> entries;

  bool operator==(const ShareLedger&) const = default;
};

// Sum of all shares of an account, dynamic and reserve.
ShareAmount TotalOf(const ShareLedger& ledger, const std::string& account);

// Requests a second that callers of an account send to all VMs.
double DemandOf(const ShareLedger& ledger, const std::string& account);

// True when no account's shares add up to more than its limit, up to rounding
// errors of 1e-9. An account without a limit may have no shares.
bool IsWithinLimits(const ShareLedger& ledger,
                    const std::vector<AccountLimit>& limits);

// Null when the ledger has no entry of this incarnation.
const LedgerEntry* FindEntry(const ShareLedger& ledger,
                             const std::string& incarnation);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_LEDGER_H_
