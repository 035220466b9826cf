#include "laburnumkeel/routing/busy_backoff.h"

#include "laburnumkeel/kernel/backoff.h"

namespace laburnumkeel::routing {

namespace {

// About one statement's time on an endpoint.
constexpr std::chrono::milliseconds kFirstPause{50};
// A full queue of a few dozen statements drains in about this time, and a
// statement's limit of most of a second leaves room for several attempts.
constexpr std::chrono::milliseconds kLongestPause{200};

}  // namespace

kernel::Duration BusyBackoff(int refusals, double random) {
  return kernel::Backoff(kFirstPause, kLongestPause, refusals, random);
}

}  // namespace laburnumkeel::routing
