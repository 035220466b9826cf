#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_VIEW_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_VIEW_H_

#include <string_view>

#include "laburnumkeel/limits/share_amount.h"
#include "laburnumkeel/limits/share_ledger.h"

namespace laburnumkeel::limits {

// One account in one ledger round, as one VM sees it.
struct AccountView {
  // Zero for an account that is not configured.
  ShareAmount limit;
  // All shares of other entries.
  ShareAmount others;
  // What this VM may use before the round.
  AccountShares usable;
  // What this VM should have according to the plan.
  AccountShares target;
  // False while another VM applies a newer configuration, whose limit may be
  // lower than the one known here.
  bool may_grow = true;
  // True when the shares exceeded the limit in the previous round too. After a
  // limit was lowered, targets that were computed from slightly different
  // ledgers may add up to more than the limit, so shares are then cut to fit.
  bool must_fit = false;
};

// Returns the shares that this VM restricts itself to before it writes to the
// ledger.
AccountShares Lower(const AccountView& view);

struct AccountUpdate {
  // For the ledger; includes what the entry program may still be using.
  AccountShares written;
  // For the entry program, once `written` is committed.
  AccountShares offered;

  bool operator==(const AccountUpdate&) const = default;
};

// Raises `lowered` towards the target from the unassigned part of the limit.
// `in_use` is what the entry program may be using after it was offered
// `lowered`.
AccountUpdate Grow(const AccountView& view, const AccountShares& lowered,
                   const AccountShares& in_use);

// Why a share changed from `before` to `after`, for the log.
std::string_view ChangeReason(const AccountView& view,
                              const AccountShares& before,
                              const AccountShares& after);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_VIEW_H_
