#ifndef LABURNUMKEEL_ENDPOINTS_LEASE_TIMES_H_
#define LABURNUMKEEL_ENDPOINTS_LEASE_TIMES_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::endpoints {

// How long requests use a connection of a pool, and what follows from it for
// those that wait for one.
//
// Load pattern: more requests than connections for longer than their deadlines.
// Requests that wait to the end of their time are refused as late as possible,
// and their callers hold a thread until then.
class LeaseTimes {
 public:
  bool operator==(const LeaseTimes&) const = default;

  void OnReturned(kernel::Duration used) {
    const kernel::Duration difference =
        std::max(used, kernel::Duration(0)) - this->mean;
    this->mean += difference / kSmoothing;
  }

  // Expected time until `requests` have been given one of `connections`, all of
  // which are in use.
  kernel::Duration ExpectedWait(std::size_t requests,
                                std::size_t connections) const {
    return this->mean * static_cast<kernel::Duration::rep>(requests) /
           static_cast<kernel::Duration::rep>(
               std::max<std::size_t>(connections, 1));
  }

  // True if a request is refused rather than left to wait. The mean says little
  // of a single wait, so one that is up to twice as short is allowed for.
  static bool IsHopeless(kernel::Duration expected_wait,
                         kernel::Duration time_left) {
    return expected_wait / 2 > time_left;
  }

 private:
  // Weight of the newest lease, as a divisor.
  static constexpr int kSmoothing = 8;

  // Starts at 0, so that nothing is refused before anything is known.
  kernel::Duration mean{0};
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_LEASE_TIMES_H_
