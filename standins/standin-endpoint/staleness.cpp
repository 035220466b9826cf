#include "standins/standin-endpoint/staleness.h"

#include <algorithm>

namespace laburnumkeel::standins {

namespace {

// Age until the state first equals the primary's: too stale for every read.
constexpr std::chrono::hours kInitialAge{24};

}  // namespace

Staleness::Staleness(kernel::Instant start) : last_equal(start - kInitialAge) {}

void Staleness::Observe(std::uint64_t primary_end, kernel::Instant moment) {
  if (!this->pending.empty() &&
      this->pending.back().primary_end == primary_end) {
    this->pending.back().moment = moment;
    return;
  }
  this->pending.push_back(Observation{primary_end, moment});
}

void Staleness::OnApplied(std::uint64_t position) {
  while (!this->pending.empty() &&
         this->pending.front().primary_end <= position) {
    this->last_equal = std::max(this->last_equal, this->pending.front().moment);
    this->pending.pop_front();
  }
}

std::chrono::milliseconds Staleness::Age(kernel::Instant now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - this->last_equal);
}

}  // namespace laburnumkeel::standins
