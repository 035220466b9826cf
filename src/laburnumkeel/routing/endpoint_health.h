#ifndef LABURNUMKEEL_ROUTING_ENDPOINT_HEALTH_H_
#define LABURNUMKEEL_ROUTING_ENDPOINT_HEALTH_H_

#include <chrono>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// What the answers of one endpoint say of it, whatever its health check says:
// how much time an attempt loses there, and whether it fails so many that it is
// ejected.
//
// Load pattern: an endpoint fails or does not answer a part of its statements
// while it answers others, and its health check, well. A single lost answer
// says little and single successes in between prove nothing, so that neither
// may decide alone. Recent attempts are weighed together, with a weight that
// halves in kHalfLife.
class EndpointHealth {
 public:
  // A VM of a large fleet sends an endpoint about one statement a second.
  static constexpr kernel::Duration kHalfLife = std::chrono::seconds(4);
  // Failures, as recent weight, without which no endpoint is ejected.
  static constexpr double kMinimumFailures = 2;
  // An endpoint that fails more than this share is ejected: a second try there
  // would fail more often than one elsewhere that succeeds half the time.
  static constexpr double kEjectionShare = 0.4;

  bool operator==(const EndpointHealth&) const = default;

  // The endpoint ran a statement successfully.
  void OnSuccess(kernel::Instant now);
  // The endpoint refused a statement as busy; trying again takes `lost`.
  void OnBusy(kernel::Instant now, kernel::Duration lost);
  // The endpoint failed a statement or did not answer it; the attempt took
  // `lost`.
  void OnFailure(kernel::Instant now, kernel::Duration lost);

  // Mean time that a recent attempt lost, in milliseconds. Fades without
  // attempts, so that the endpoint is tried again.
  double LossMs(kernel::Instant now) const;
  // Share of recent attempts that failed, from 0 to 1.
  double FailureShare() const;
  bool IsEjected(kernel::Instant now) const;
  // An ejection has ended and the endpoint has not proved itself since. One
  // statement at a time shows whether it answers again.
  bool IsProbed(kernel::Instant now) const {
    return this->ejections > 0 && !this->IsEjected(now);
  }

 private:
  // Halves the weights for the time since the last attempt.
  void Fade(kernel::Instant now);
  static double Weight(kernel::Duration elapsed);

  kernel::Instant as_of;
  double attempts = 0;
  double failures = 0;
  double lost_ms = 0;
  kernel::Instant ejected_until;
  // Ejections without a success since, for the time of the next one.
  int ejections = 0;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_ENDPOINT_HEALTH_H_
