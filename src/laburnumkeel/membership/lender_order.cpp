#include "laburnumkeel/membership/lender_order.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "laburnumkeel/membership/rendezvous.h"

namespace laburnumkeel::membership {

namespace {

// Assumed for a VM whose processor share is not known.
constexpr double kDefaultShare = 0.1;

// Weighted rendezvous hashing: with `hash` spread evenly over (0, 1), the VM
// with the highest score is chosen with a probability proportional to `share`.
double Score(std::uint64_t hash, double share) {
  const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / 0x1p53;
  return (share > 0 ? share : kDefaultShare) / -std::log(uniform);
}

}  // namespace

std::vector<std::string> LenderOrder(
    std::string_view endpoint_id, std::string_view data_centre,
    const std::vector<LenderCandidate>& candidates, std::size_t count) {
  std::vector<std::tuple<bool, double, std::string>> scored;
  scored.reserve(candidates.size());
  for (const LenderCandidate& candidate : candidates) {
    scored.emplace_back(candidate.data_centre == data_centre,
                        Score(RendezvousWeight(endpoint_id, candidate.vm),
                              candidate.processor_share),
                        candidate.vm);
  }
  const std::size_t kept = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(kept),
                    scored.end(), std::greater<>());
  std::vector<std::string> order;
  for (std::size_t i = 0; i < kept; ++i) {
    order.push_back(std::get<std::string>(scored[i]));
  }
  return order;
}

}  // namespace laburnumkeel::membership
