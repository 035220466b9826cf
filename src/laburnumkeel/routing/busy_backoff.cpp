#include "laburnumkeel/routing/busy_backoff.h"

#include <algorithm>
#include <cstdint>

namespace laburnumkeel::routing {

namespace {

// About one statement's time on an endpoint.
constexpr std::chrono::milliseconds kFirstPause{50};
// A full queue of a few dozen statements drains in about this time, and a
// statement's limit of most of a second leaves room for several attempts.
constexpr int kMaximumDoublings = 2;

}  // namespace

std::chrono::milliseconds BusyBackoff(int refusals, double random) {
  const int doublings = std::clamp(refusals - 1, 0, kMaximumDoublings);
  const double longest =
      static_cast<double>(kFirstPause.count()) * (1 << doublings);
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(longest * (1 + random) / 2));
}

}  // namespace laburnumkeel::routing
