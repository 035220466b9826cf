#include "laburnumkeel/limits/share_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laburnumkeel::limits {

namespace {

// Margin over the measured demand that comes before the floor of other VMs.
constexpr double kMargin = 1.1;
// Headroom that is granted while the limit is not used up, so that demand
// which moves to a VM finds tokens before the next round.
constexpr double kHeadroom = 1.5;
// Part of the limit up to which headroom and the rest are assigned. What is
// left lets a VM with more demand grow in its next round, without waiting for
// another VM to give up a share first.
constexpr double kAssignedPart = 0.9;

// Rate that is kept for each VM, as long as others do not need it. It fills
// the bucket of a VM without demand, so that its first requests pass. Small
// limits need a larger part to yield a token in a few seconds.
double Floor(double limit) {
  return std::max(limit * 0.005, std::min(limit * 0.02, 1.0));
}

// Part of the burst that is split equally; the rest follows the rates.
constexpr double kEqualBurst = 0.5;

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// Raises each grant towards `wish(index)` from what is left of `capacity`.
template <class Wish>
void Raise(std::vector<double>& grants, double capacity, const Wish& wish) {
  std::vector<double> missing;
  for (std::size_t index = 0; index < grants.size(); ++index) {
    missing.push_back(std::max(0.0, wish(index) - grants[index]));
  }
  const std::vector<double> raise =
      MaxMinFair(std::max(0.0, capacity - Sum(grants)), missing);
  for (std::size_t index = 0; index < grants.size(); ++index) {
    grants[index] += raise[index];
  }
}

std::vector<double> PlanRates(const PlanInput& input, double capacity) {
  const std::vector<VmDemand>& active = input.active;
  const double floor = Floor(input.limit.rate);
  const double assigned = capacity * kAssignedPart;
  std::vector<double> rates(active.size(), 0.0);
  Raise(rates, capacity,
        [&](std::size_t index) { return active[index].demand; });
  Raise(rates, capacity,
        [&](std::size_t index) { return active[index].demand * kMargin; });
  Raise(rates, capacity, [&](std::size_t) { return floor; });
  Raise(rates, assigned,
        [&](std::size_t index) { return active[index].demand * kHeadroom; });
  const double rest =
      std::max(0.0, assigned - Sum(rates)) / static_cast<double>(active.size());
  for (double& rate : rates) {
    rate += rest;
  }
  return rates;
}

// One whole token for as many VMs as possible, those with the largest demand
// first: a bucket that holds less than one token never lets a request pass.
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
    bursts[index] += rest * (kEqualBurst / count + (1 - kEqualBurst) * by_rate);
  }
  return bursts;
}

// The regular reserve of one VM. Its burst is at least one token where the
// burst suffices for that, so that it can be used without a dynamic share.
ShareAmount RegularReserve(const PlanInput& input) {
  const auto fleet_size = static_cast<double>(input.fleet_size);
  const double burst_part = input.limit.burst / fleet_size;
  return ShareAmount{
      input.limit.rate * input.reserve_fraction / fleet_size,
      std::max(burst_part * input.reserve_fraction, std::min(1.0, burst_part))};
}

}  // namespace

std::vector<double> MaxMinFair(double capacity,
                               const std::vector<double>& wishes) {
  std::vector<std::size_t> order(wishes.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t left, std::size_t right) {
                     return wishes[left] < wishes[right];
                   });
  std::vector<double> grants(wishes.size(), 0.0);
  auto waiting = static_cast<double>(wishes.size());
  for (const std::size_t index : order) {
    grants[index] = std::min(wishes[index], capacity / waiting);
    capacity = std::max(0.0, capacity - grants[index]);
    waiting -= 1;
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
  // Reserves of crashed VMs stay assigned for hours. Without this bound,
  // repeated crashes would turn the whole limit into unusable reserves.
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
