#ifndef LABURNUMKEEL_LIMITS_ROUND_REPORT_H_
#define LABURNUMKEEL_LIMITS_ROUND_REPORT_H_

#include <string_view>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::limits {

enum class RoundOutcome {
  kCommitted,
  // Another VM wrote the ledger in between; try again after a short, random
  // delay.
  kConflict,
  // The write may have taken effect; the next round reads it back.
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
  // A VM has less than its demand of an account that is within its limit.
  bool is_short = false;

  bool operator==(const RoundReport&) const = default;
};

// Time to wait before the next round. `random` in [0, 1) spreads retries of
// VMs that conflicted. While shares are short, rounds are 4 times as frequent,
// so that demand that moved gets its tokens within a second.
kernel::Duration NextRoundDelay(const RoundReport& report, double random);

// Least time between the start of rounds, also of early ones.
inline constexpr kernel::Duration kShortestRound =
    std::chrono::milliseconds(250);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ROUND_REPORT_H_
