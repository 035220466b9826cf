#ifndef LABURNUMKEEL_ROUTING_POSITION_SAMPLES_H_
#define LABURNUMKEEL_ROUTING_POSITION_SAMPLES_H_

#include <chrono>
#include <deque>
#include <optional>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::routing {

// A position that covers all commits acknowledged before `covers`.
struct PositionSample {
  model::LogPosition position;
  kernel::Instant covers;

  bool operator==(const PositionSample&) const = default;
};

// Log positions heard from the primary of a service. A position in the answer
// to a statement that was sent at an instant covers every commit acknowledged
// before that instant.
class PositionSamples {
 public:
  // Longer than the largest staleness that a route allows in practice; older
  // samples are of no use to a read.
  static constexpr std::chrono::seconds kRetention{5};
  // Samples closer together than this replace each other.
  static constexpr std::chrono::milliseconds kSpacing{50};

  // `covers` is the instant at which the statement was sent.
  void Add(const model::LogPosition& position, kernel::Instant covers);

  // The sample of the lowest position that covers all commits acknowledged
  // before `instant`; empty when none does. A low position is held by more
  // replicas.
  std::optional<PositionSample> LowestCovering(kernel::Instant instant) const;

  // Empty without samples.
  std::optional<PositionSample> Newest() const;

  // Zero without samples.
  kernel::Instant NewestCover() const;

 private:
  // Ascending in both fields.
  std::deque<PositionSample> samples;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_POSITION_SAMPLES_H_
