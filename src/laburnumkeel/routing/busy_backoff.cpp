#include "laburnumkeel/routing/busy_backoff.h"

#include <algorithm>

#include "laburnumkeel/kernel/backoff.h"

namespace laburnumkeel::routing {

namespace {

// About the time that an endpoint takes to run one statement.
constexpr std::chrono::milliseconds kFirstDelay{50};
// A full queue of a few dozen statements drains in about this time. The time
// limit of a statement, most of a second, leaves room for several attempts.
constexpr std::chrono::milliseconds kMaxDelay{200};
// A statement of a further rank leaves room for one more round of those before
// it; beyond this it could not return before its time limit.
constexpr int kMaximumRank = 2;

}  // namespace

kernel::Duration BusyBackoff(int refusals, BusyUrgency urgency, double random) {
  const kernel::Duration delay =
      kernel::Backoff(kFirstDelay, kMaxDelay, refusals, random);
  if (urgency.continues_transaction) {
    return delay / 2;
  }
  return delay * (1 + std::clamp(urgency.rank, 0, kMaximumRank));
}

}  // namespace laburnumkeel::routing
