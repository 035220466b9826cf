#include "laburnumkeel/limits/share_ledger.h"

#include <algorithm>
#include <set>

namespace laburnumkeel::limits {

ShareAmount Total(const AccountShares& shares) {
  return shares.dynamic + shares.reserve;
}

AccountShares Smaller(const AccountShares& left, const AccountShares& right) {
  return AccountShares{Smaller(left.dynamic, right.dynamic),
                       Smaller(left.reserve, right.reserve), left.demand};
}

AccountShares SharesOf(const LedgerEntry& entry, const std::string& account) {
  const auto shares = entry.accounts.find(account);
  return shares == entry.accounts.end() ? AccountShares{} : shares->second;
}

ShareAmount TotalOf(const ShareLedger& ledger, const std::string& account) {
  ShareAmount sum;
  for (const LedgerEntry& entry : ledger.entries) {
    sum = sum + Total(SharesOf(entry, account));
  }
  return sum;
}

double DemandOf(const ShareLedger& ledger, const std::string& account) {
  double sum = 0;
  for (const LedgerEntry& entry : ledger.entries) {
    sum += SharesOf(entry, account).demand;
  }
  return sum;
}

bool IsWithinLimits(const ShareLedger& ledger,
                    const std::vector<AccountLimit>& limits) {
  std::map<std::string, ShareAmount> allowed;
  for (const AccountLimit& limit : limits) {
    allowed[limit.account] = limit.limit;
  }
  std::set<std::string> accounts;
  for (const LedgerEntry& entry : ledger.entries) {
    for (const auto& [account, shares] : entry.accounts) {
      accounts.insert(account);
    }
  }
  return std::all_of(
      accounts.begin(), accounts.end(), [&](const std::string& account) {
        return IsWithin(TotalOf(ledger, account), allowed[account]);
      });
}

const LedgerEntry* FindEntry(const ShareLedger& ledger,
                             const std::string& incarnation) {
  const auto entry = std::find_if(ledger.entries.begin(), ledger.entries.end(),
                                  [&](const LedgerEntry& candidate) {
                                    return candidate.incarnation == incarnation;
                                  });
  return entry == ledger.entries.end() ? nullptr : &*entry;
}

}  // namespace laburnumkeel::limits
