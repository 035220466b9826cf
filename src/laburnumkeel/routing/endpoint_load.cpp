#include "laburnumkeel/routing/endpoint_load.h"

#include <cmath>
#include <cstdint>

namespace laburnumkeel::routing {

namespace {

// Endpoints that have left are forgotten once their weight has faded to this.
constexpr double kForgotten = 0.01;

double Weight(kernel::Duration elapsed) {
  return std::exp2(-std::chrono::duration<double>(elapsed) /
                   std::chrono::duration<double>(FleetLoad::kHalfLife));
}

std::chrono::milliseconds Mean(double sum, double attempts) {
  return std::chrono::milliseconds(std::llround(sum / attempts));
}

}  // namespace

void FleetLoad::Add(const std::string& endpoint, const EndpointLoad& load,
                    kernel::Instant now) {
  const auto [found, is_new] = this->loads.try_emplace(endpoint);
  Entry& entry = found->second;
  const double weight = Weight(now - entry.as_of);
  entry.load = {entry.load.attempts * weight + load.attempts,
                entry.load.excess_ms * weight + load.excess_ms,
                entry.load.loss_ms * weight + load.loss_ms};
  entry.as_of = now;
  if (!is_new) {
    return;
  }
  std::erase_if(this->loads, [now](const auto& item) {
    return item.second.load.attempts * Weight(now - item.second.as_of) <
           kForgotten;
  });
}

std::map<std::string, EndpointDelay> FleetLoad::Noticeable(
    kernel::Instant now) const {
  std::map<std::string, EndpointDelay> noticeable;
  for (const auto& [endpoint, entry] : this->loads) {
    const double attempts = entry.load.attempts;
    if (attempts * Weight(now - entry.as_of) < kMinimumAttempts) {
      continue;
    }
    const EndpointDelay delay{Mean(entry.load.excess_ms, attempts),
                              Mean(entry.load.loss_ms, attempts)};
    if (delay.excess + delay.loss >= kNoticeable) {
      noticeable[endpoint] = delay;
    }
  }
  return noticeable;
}

}  // namespace laburnumkeel::routing
