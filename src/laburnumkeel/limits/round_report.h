#ifndef LABURNUMKEEL_LIMITS_ROUND_REPORT_H_
#define LABURNUMKEEL_LIMITS_ROUND_REPORT_H_

#include <string_view>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::limits {

enum class RoundOutcome {
  kCommitted,
  // Another VM wrote to the ledger since it was read. The round should be
  // retried after a short, random delay.
  kConflict,
  // The write may have taken effect. The next round reads the ledger to find
  // out.
  kUnknown,
  kStoreUnavailable,
  // The row's value is not a share ledger. Nothing is written.
  kInvalidLedger,
  // The shares were released and no further round may follow.
  kReleased,
};

std::string_view ToString(RoundOutcome outcome);

struct RoundReport {
  RoundOutcome outcome = RoundOutcome::kStoreUnavailable;
  // A VM's share is smaller than its demand, although the account's total
  // demand is within its limit.
  bool has_shortage = false;

  bool operator==(const RoundReport&) const = default;
};

// Time to wait before the next round. `random` in [0, 1) is the jitter for
// retries of VMs that conflicted. While there is a shortage, rounds are 4 times
// as frequent, so that demand that moved to another VM gets its tokens within a
// second.
kernel::Duration NextRoundDelay(const RoundReport& report, double random);

// Minimum time between the starts of two rounds, early rounds included.
inline constexpr kernel::Duration kShortestRound =
    std::chrono::milliseconds(250);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ROUND_REPORT_H_
