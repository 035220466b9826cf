#include "laburnumkeel/limits/round_report.h"

namespace laburnumkeel::limits {

std::string_view ToString(RoundOutcome outcome) {
  switch (outcome) {
    case RoundOutcome::kCommitted:
      return "committed";
    case RoundOutcome::kConflict:
      return "conflict";
    case RoundOutcome::kUnknown:
      return "unknown";
    case RoundOutcome::kStoreUnavailable:
      return "store_unavailable";
    case RoundOutcome::kInvalidLedger:
      return "invalid_ledger";
    case RoundOutcome::kReleased:
      return "released";
  }
  return "store_unavailable";
}

kernel::Duration NextRoundDelay(const RoundReport& report, double random) {
  constexpr kernel::Duration kRegularRound = std::chrono::seconds(1);
  constexpr kernel::Duration kLongestRetry = std::chrono::milliseconds(100);
  if (report.outcome == RoundOutcome::kConflict) {
    return std::chrono::duration_cast<kernel::Duration>(kLongestRetry * random);
  }
  if (report.outcome == RoundOutcome::kCommitted && report.has_shortage) {
    return kShortestRound;
  }
  return kRegularRound;
}

}  // namespace laburnumkeel::limits
