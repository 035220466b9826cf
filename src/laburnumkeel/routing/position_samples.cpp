#include "laburnumkeel/routing/position_samples.h"

#include <algorithm>

namespace laburnumkeel::routing {

void PositionSamples::Add(const model::LogPosition& position,
                          kernel::Instant covered_until) {
  if (covered_until <= this->CoveredUntil()) {
    return;
  }
  PositionSample sample{position, covered_until};
  if (!this->samples.empty()) {
    // Responses can arrive out of order; a later instant needs at least the
    // position of an earlier one.
    sample.position = std::max(sample.position, this->samples.back().position);
  }
  const bool replaces_newest =
      this->samples.size() >= 2 &&
      covered_until - this->samples[this->samples.size() - 2].covered_until <
          kSpacing;
  if (replaces_newest) {
    this->samples.pop_back();
  }
  this->samples.push_back(sample);
  while (this->samples.front().covered_until < covered_until - kRetention) {
    this->samples.pop_front();
  }
}

std::optional<PositionSample> PositionSamples::LowestCovering(
    kernel::Instant instant) const {
  const auto found = std::find_if(this->samples.begin(), this->samples.end(),
                                  [&](const PositionSample& sample) {
                                    return sample.covered_until >= instant;
                                  });
  if (found == this->samples.end()) {
    return std::nullopt;
  }
  return *found;
}

std::optional<PositionSample> PositionSamples::Newest() const {
  if (this->samples.empty()) {
    return std::nullopt;
  }
  return this->samples.back();
}

kernel::Instant PositionSamples::CoveredUntil() const {
  return this->samples.empty() ? kernel::Instant()
                               : this->samples.back().covered_until;
}

}  // namespace laburnumkeel::routing
