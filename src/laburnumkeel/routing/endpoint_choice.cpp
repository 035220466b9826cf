#include "laburnumkeel/routing/endpoint_choice.h"

#include <algorithm>

namespace laburnumkeel::routing {

namespace {

// Weight of the primary: a read there delays writes and strictly consistent
// reads, which no other endpoint can serve.
constexpr double kPrimaryWeight = 1.5;
// Weights of another data centre in the local region and of another region.
// Traffic between data centres is charged for, and traffic between regions
// costs about three times as much.
constexpr double kOtherDataCentreWeight = 1.3;
constexpr double kOtherRegionWeight = 2.0;
// Weight of a primary that refuses or fails statements: reads leave it unless
// the replicas take this many times longer.
constexpr double kLosingPrimaryWeight = 4;
// Time that attempts lose on average above which a primary counts as losing
// them. Single refusals are below it.
constexpr double kNoticeableLossMs = 5;
// A suspended endpoint is chosen only if all others are suspended as well.
constexpr double kSuspendedWeight = 1000;
// Weight of an endpoint that is expected to respond after the objective, so
// that traffic is not saved at the cost of a late response.
constexpr double kLateWeight = 2;

double Cost(const EndpointCandidate& candidate, double objective_ms) {
  const double expected = ExpectedCompletionMs(candidate);
  double cost = expected;
  if (candidate.is_primary) {
    cost *= candidate.loss_ms > kNoticeableLossMs ? kLosingPrimaryWeight
                                                  : kPrimaryWeight;
  }
  if (!candidate.is_in_own_region) {
    cost *= kOtherRegionWeight;
  } else if (!candidate.is_in_own_data_centre) {
    cost *= kOtherDataCentreWeight;
  }
  if (expected > objective_ms) {
    cost *= kLateWeight;
  }
  if (candidate.is_suspended) {
    cost *= kSuspendedWeight;
  }
  return cost;
}

}  // namespace

std::optional<std::size_t> ChooseForConnection(
    const std::vector<admission::WaitingRequest>& waiting,
    const std::vector<std::size_t>& ranked, const std::string& account,
    kernel::Duration fairness_window, kernel::Instant now) {
  const auto best = std::find_if(
      ranked.begin(), ranked.end(),
      [&](std::size_t index) { return waiting[index].account == account; });
  if (best == ranked.end()) {
    return std::nullopt;
  }
  const admission::WaitingRequest& chosen = waiting[*best];
  const bool is_unfair =
      std::any_of(ranked.begin(), best, [&](std::size_t index) {
        const admission::WaitingRequest& ahead = waiting[index];
        const kernel::Instant due = ahead.arrived + fairness_window;
        return due < chosen.arrived ||
               (ahead.priority < chosen.priority && due < now);
      });
  return is_unfair ? std::nullopt : std::optional(*best);
}

double ExpectedCompletionMs(const EndpointCandidate& candidate) {
  const double queue = 1.0 + static_cast<double>(candidate.outstanding) /
                                 std::max(candidate.slots, 1);
  return std::max(candidate.connection_wait_ms, 0.0) +
         std::max(candidate.response_ms, 1.0) * queue + candidate.loss_ms;
}

std::optional<std::size_t> ChooseForRead(
    const std::vector<EndpointCandidate>& candidates, double objective_ms) {
  const auto cheapest = std::min_element(
      candidates.begin(), candidates.end(),
      [&](const EndpointCandidate& left, const EndpointCandidate& right) {
        return Cost(left, objective_ms) < Cost(right, objective_ms);
      });
  if (cheapest == candidates.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(cheapest - candidates.begin());
}

}  // namespace laburnumkeel::routing
