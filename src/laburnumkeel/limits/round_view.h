#ifndef LABURNUMKEEL_LIMITS_ROUND_VIEW_H_
#define LABURNUMKEEL_LIMITS_ROUND_VIEW_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "laburnumkeel/limits/account_demand.h"
#include "laburnumkeel/limits/account_limit.h"
#include "laburnumkeel/limits/account_view.h"
#include "laburnumkeel/limits/share_ledger.h"

namespace laburnumkeel::limits {

struct RoundViewSettings {
  std::string incarnation;
  // Fraction of each limit that is kept as reserve shares, 0 to 1.
  double reserve_fraction = 0.4;
};

// The ledger of one round as one VM sees it. Immutable.
class RoundView {
 public:
  using IsInactive = std::function<bool(const LedgerEntry&)>;

  // `ledger` must not contain expired shares. `is_inactive` tells which entries
  // are no longer renewed.
  RoundView(const ShareLedger& ledger, const FleetLimits& limits,
            const std::vector<AccountDemand>& demands,
            RoundViewSettings settings, const IsInactive& is_inactive);

  bool IsConfigured(const std::string& account) const;

  // The account as this VM sees it. `usable` is what the VM may use now;
  // `was_exceeded` is IsExceeded of the previous round.
  AccountView Of(const std::string& account, const AccountShares& usable,
                 bool was_exceeded) const;

  // True when the ledger's shares of the account add up to more than its
  // limit, as they do for some time after the limit was lowered.
  bool IsExceeded(const std::string& account) const;

  // The ledger with `own` in place of this VM's entry.
  ShareLedger With(const LedgerEntry& own) const;

  // True when some VM in `next` has a smaller share than its demand, for an
  // account whose total demand is within its limit.
  bool HasShortage(const ShareLedger& next) const;

 private:
  ShareAmount LimitOf(const std::string& account) const;
  AccountShares Target(const std::string& account,
                       const ShareAmount& limit) const;

  FleetLimits limits;
  RoundViewSettings settings;
  std::map<std::string, double> demands;
  // Entries of other VMs.
  std::vector<LedgerEntry> active;
  std::vector<LedgerEntry> inactive;
  ShareLedger ledger;
  bool is_newest_configuration = true;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ROUND_VIEW_H_
