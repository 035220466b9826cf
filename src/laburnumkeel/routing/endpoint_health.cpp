#include "laburnumkeel/routing/endpoint_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace laburnumkeel::routing {

namespace {

// Weight of an endpoint without attempts: with it, a first failure is not taken
// for the rule.
constexpr double kAssumedSuccesses = 2;
constexpr std::chrono::milliseconds kFirstEjection{1000};
constexpr int kMaximumEjectionDoublings = 3;

double ToMilliseconds(kernel::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

double EndpointHealth::Weight(kernel::Duration elapsed) {
  return std::exp2(-ToMilliseconds(elapsed) / ToMilliseconds(kHalfLife));
}

void EndpointHealth::Fade(kernel::Instant now) {
  const double weight = Weight(now - this->as_of);
  this->attempts *= weight;
  this->failures *= weight;
  this->lost_ms *= weight;
  this->as_of = now;
}

void EndpointHealth::OnSuccess(kernel::Instant now) {
  this->Fade(now);
  ++this->attempts;
  if (now >= this->ejected_until && this->FailureShare() < kEjectionShare) {
    this->ejections = 0;
  }
}

void EndpointHealth::OnBusy(kernel::Instant now, kernel::Duration lost) {
  this->Fade(now);
  ++this->attempts;
  this->lost_ms += ToMilliseconds(lost);
}

void EndpointHealth::OnFailure(kernel::Instant now, kernel::Duration lost) {
  this->Fade(now);
  ++this->attempts;
  ++this->failures;
  this->lost_ms += ToMilliseconds(lost);
  if (now < this->ejected_until || this->failures < kMinimumFailures ||
      this->FailureShare() < kEjectionShare) {
    return;
  }
  this->ejected_until =
      now + kFirstEjection *
                (1 << std::min(this->ejections, kMaximumEjectionDoublings));
  ++this->ejections;
}

double EndpointHealth::LossMs(kernel::Instant now) const {
  const double weight = Weight(now - this->as_of);
  return this->lost_ms * weight / (this->attempts * weight + kAssumedSuccesses);
}

double EndpointHealth::FailureShare() const {
  return this->attempts <= 0 ? 0 : this->failures / this->attempts;
}

bool EndpointHealth::IsEjected(kernel::Instant now) const {
  return now < this->ejected_until;
}

}  // namespace laburnumkeel::routing
