#include "laburnumkeel/routing/busy_backoff.h"

#include "laburnumkeel/kernel/backoff.h"

namespace laburnumkeel::routing {

namespace {

// About the time that an endpoint takes to run one statement.
constexpr std::chrono::milliseconds kFirstDelay{50};
// A full queue of a few dozen statements drains in about this time. The time
// limit of a statement, most of a second, leaves room for several attempts.
constexpr std::chrono::milliseconds kMaxDelay{200};

}  // namespace

kernel::Duration BusyBackoff(int refusals, double random) {
  return kernel::Backoff(kFirstDelay, kMaxDelay, refusals, random);
}

}  // namespace laburnumkeel::routing
