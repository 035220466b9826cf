#include "laburnumkeel/limits/share_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laburnumkeel::limits {

namespace {

// Factor on the measured demand that takes precedence over the minimum rates of
// other VMs.
constexpr double kMargin = 1.1;
// Factor on the measured demand that is granted while the limit is not used up,
// so that demand which moves to a VM finds tokens before the next round.
constexpr double kHeadroom = 1.5;
// Fraction of the limit up to which headroom and the rest are assigned. The
// unassigned fraction lets a VM with more demand raise its share in its next
// round, without waiting for another VM to release a share first.
constexpr double kAssignedFraction = 0.9;

// Rate that is assigned to each VM as long as others do not need it. It fills
// the bucket of a VM without demand, so that its first requests pass. Small
// limits need a larger fraction to yield a token within a few seconds.
double MinimumRate(double limit) {
  return std::max(limit * 0.005, std::min(limit * 0.02, 1.0));
}

// Fraction of the burst that is split equally. The rest is split in proportion
// to the rates.
constexpr double kEqualBurstFraction = 0.5;

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// Raises each grant towards `target(index)`, with the part of `capacity` that
// the grants leave.
template <class Target>
void Raise(std::vector<double>& grants, double capacity, const Target& target) {
  std::vector<double> missing;
  for (std::size_t index = 0; index < grants.size(); ++index) {
    missing.push_back(std::max(0.0, target(index) - grants[index]));
  }
  const std::vector<double> raise =
      MaxMinFair(std::max(0.0, capacity - Sum(grants)), missing);
  for (std::size_t index = 0; index < grants.size(); ++index) {
    grants[index] += raise[index];
  }
}

std::vector<double> PlanRates(const PlanInput& input, double capacity) {
  const std::vector<VmDemand>& active = input.active;
  const double minimum_rate = MinimumRate(input.limit.rate);
  const double assigned = capacity * kAssignedFraction;
  std::vector<double> rates(active.size(), 0.0);
  Raise(rates, capacity,
        [&](std::size_t index) { return active[index].demand; });
  Raise(rates, capacity,
        [&](std::size_t index) { return active[index].demand * kMargin; });
  Raise(rates, capacity, [&](std::size_t) { return minimum_rate; });
  Raise(rates, assigned,
        [&](std::size_t index) { return active[index].demand * kHeadroom; });
  const double rest =
      std::max(0.0, assigned - Sum(rates)) / static_cast<double>(active.size());
  for (double& rate : rates) {
    rate += rest;
  }
  return rates;
}

// Returns one whole token for as many VMs as possible, those with the largest
// demand first: a bucket that holds less than one token never lets a request
// pass.
std::vector<double> WholeTokens(const PlanInput& input, double capacity) {
  std::vector<std::size_t> order(input.active.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(
      order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return input.active[left].demand > input.active[right].demand;
      });
  std::vector<double> tokens(input.active.size(), 0.0);
  for (const std::size_t index : order) {
    if (capacity < 1) {
      break;
    }
    tokens[index] = 1;
    capacity -= 1;
  }
  return tokens;
}

std::vector<double> PlanBursts(const PlanInput& input, double capacity,
                               const std::vector<double>& rates) {
  std::vector<double> bursts = WholeTokens(input, capacity);
  const double rest = std::max(0.0, capacity - Sum(bursts));
  const double rate_sum = Sum(rates);
  const auto count = static_cast<double>(bursts.size());
  for (std::size_t index = 0; index < bursts.size(); ++index) {
    const double by_rate = rate_sum > 0 ? rates[index] / rate_sum : 1.0 / count;
    bursts[index] += rest * (kEqualBurstFraction / count +
                             (1 - kEqualBurstFraction) * by_rate);
  }
  return bursts;
}

// The reserve of one VM when no VM has crashed. Its burst is at least one token
// if an equal part of the limit's burst is, so that the reserve can be used
// without a dynamic share.
ShareAmount RegularReserve(const PlanInput& input) {
  const auto fleet_size = static_cast<double>(input.fleet_size);
  const double burst_part = input.limit.burst / fleet_size;
  return ShareAmount{
      input.limit.rate * input.reserve_fraction / fleet_size,
      std::max(burst_part * input.reserve_fraction, std::min(1.0, burst_part))};
}

}  // namespace

std::vector<double> MaxMinFair(double capacity,
                               const std::vector<double>& demands) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t left, std::size_t right) {
                     return demands[left] < demands[right];
                   });
  std::vector<double> grants(demands.size(), 0.0);
  auto unserved = static_cast<double>(demands.size());
  for (const std::size_t index : order) {
    grants[index] = std::min(demands[index], capacity / unserved);
    capacity = std::max(0.0, capacity - grants[index]);
    unserved -= 1;
  }
  return grants;
}

AccountShares PlanShares(const PlanInput& input,
                         const std::string& incarnation) {
  const auto own = std::find_if(
      input.active.begin(), input.active.end(),
      [&](const VmDemand& vm) { return vm.incarnation == incarnation; });
  if (own == input.active.end()) {
    return AccountShares{};
  }
  const auto index = static_cast<std::size_t>(own - input.active.begin());
  const ShareAmount capacity = NotNegative(input.limit - input.inactive);
  const std::vector<double> rates = PlanRates(input, capacity.rate);
  const std::vector<double> bursts = PlanBursts(input, capacity.burst, rates);
  const ShareAmount total{rates[index], bursts[index]};
  // Reserves of crashed VMs stay assigned for hours. Without a bound on the sum
  // of reserves, repeated crashes would turn the whole limit into unusable
  // reserves.
  const ShareAmount regular = RegularReserve(input);
  const auto fleet_size = static_cast<double>(input.fleet_size);
  const ShareAmount all_reserves{regular.rate * fleet_size,
                                 regular.burst * fleet_size};
  const ShareAmount reserve =
      Smaller(Smaller(regular, total),
              NotNegative(all_reserves - input.other_reserves));
  return AccountShares{NotNegative(total - reserve), reserve, own->demand};
}

}  // namespace laburnumkeel::limits
