#ifndef LABURNUMKEEL_ROUTING_POSITION_SAMPLES_H_
#define LABURNUMKEEL_ROUTING_POSITION_SAMPLES_H_

#include <chrono>
#include <deque>
#include <optional>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::routing {

// A position that covers all commits acknowledged before `covered_until`.
struct PositionSample {
  model::LogPosition position;
  kernel::Instant covered_until;

  bool operator==(const PositionSample&) const = default;
};

// Log positions received from the primary of a service. The position in the
// response to a statement covers every commit that was acknowledged before the
// statement was sent.
class PositionSamples {
 public:
  // Longer than the largest staleness that a route allows in practice. No read
  // needs older samples.
  static constexpr std::chrono::seconds kRetention{5};
  // A new sample replaces the newest one if it is closer than this to the
  // sample before that.
  static constexpr std::chrono::milliseconds kSpacing{50};

  // `covered_until` is the instant at which the statement was sent.
  void Add(const model::LogPosition& position, kernel::Instant covered_until);

  // The sample with the lowest position that covers all commits acknowledged
  // before `instant`; empty if there is none. The lower the position, the more
  // replicas have reached it.
  std::optional<PositionSample> LowestCovering(kernel::Instant instant) const;

  // Empty without samples.
  std::optional<PositionSample> Newest() const;

  // Zero without samples.
  kernel::Instant CoveredUntil() const;

 private:
  // Ascending in both fields.
  std::deque<PositionSample> samples;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_POSITION_SAMPLES_H_
