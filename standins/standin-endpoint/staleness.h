#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_STALENESS_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_STALENESS_H_

#include <chrono>
#include <cstdint>
#include <deque>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::standins {

// Finds the last moment at which the applied state of a replica equalled the
// primary's.
class Staleness {
 public:
  explicit Staleness(kernel::Instant start);

  // Records that the primary's log ended at `primary_end` at `moment`.
  void Observe(std::uint64_t primary_end, kernel::Instant moment);

  // Discards the observations of an earlier primary that are not applied yet.
  void DropPending() { this->pending.clear(); }

  // Records that the log is applied up to `position`.
  void OnApplied(std::uint64_t position);

  // Time since the state last equalled the primary's.
  std::chrono::milliseconds Age(kernel::Instant now) const;

 private:
  struct Observation {
    std::uint64_t primary_end;
    kernel::Instant moment;
  };

  // Ends of the primary's log that are not applied yet, in ascending order.
  std::deque<Observation> pending;
  kernel::Instant last_equal;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_STALENESS_H_
