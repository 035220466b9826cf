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
// A suspended endpoint is chosen only if all others are suspended as well.
constexpr double kSuspendedWeight = 1000;

double Cost(const ReadCandidate& candidate) {
  const double queue = 1.0 + static_cast<double>(candidate.outstanding) /
                                 std::max(candidate.slots, 1);
  double cost = std::max(candidate.response_ms, 1.0) * queue;
  if (candidate.is_primary) {
    cost *= kPrimaryWeight;
  }
  if (!candidate.is_in_own_region) {
    cost *= kOtherRegionWeight;
  } else if (!candidate.is_in_own_data_centre) {
    cost *= kOtherDataCentreWeight;
  }
  if (candidate.is_suspended) {
    cost *= kSuspendedWeight;
  }
  return cost;
}

}  // namespace

std::optional<std::size_t> ChooseForConnection(
    const std::vector<WaitingStatement>& waiting, const std::string& account,
    kernel::Duration fairness_window) {
  std::optional<std::size_t> best;
  std::optional<kernel::Instant> oldest_other;
  for (std::size_t index = 0; index < waiting.size(); ++index) {
    const WaitingStatement& statement = waiting[index];
    if (statement.account != account) {
      oldest_other = oldest_other ? std::min(*oldest_other, statement.arrived)
                                  : statement.arrived;
      continue;
    }
    const bool is_better = !best ||
                           statement.priority < waiting[*best].priority ||
                           (statement.priority == waiting[*best].priority &&
                            statement.arrived < waiting[*best].arrived);
    if (is_better) {
      best = index;
    }
  }
  const bool is_unfair =
      best && oldest_other &&
      *oldest_other + fairness_window < waiting[*best].arrived;
  return is_unfair ? std::nullopt : best;
}

std::optional<std::size_t> ChooseForRead(
    const std::vector<ReadCandidate>& candidates) {
  const auto cheapest = std::min_element(
      candidates.begin(), candidates.end(),
      [](const ReadCandidate& left, const ReadCandidate& right) {
        return Cost(left) < Cost(right);
      });
  if (cheapest == candidates.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(cheapest - candidates.begin());
}

}  // namespace laburnumkeel::routing
