#ifndef LABURNUMKEEL_LIMITS_SHARE_PLAN_H_
#define LABURNUMKEEL_LIMITS_SHARE_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumkeel/limits/share_amount.h"
#include "laburnumkeel/limits/share_ledger.h"

namespace laburnumkeel::limits {

// Splits `capacity` by max-min fairness: the smallest grant is as large as
// possible and no grant exceeds its demand. Grants are in the order of demands.
std::vector<double> MaxMinFair(double capacity,
                               const std::vector<double>& demands);

// Demand for one account on one VM that renews its entry.
struct VmDemand {
  std::string incarnation;
  // Requests a second.
  double demand = 0;

  bool operator==(const VmDemand&) const = default;
};

// What the plan for one account of one VM depends on.
struct PlanInput {
  ShareAmount limit;
  // Held by entries that are no longer renewed; not available until removed.
  ShareAmount inactive;
  // Reserve shares of all other entries.
  ShareAmount other_reserves;
  // All VMs that renew their entries, this one included.
  std::vector<VmDemand> active;
  // Number of VMs among which the reserve is split equally.
  std::int64_t fleet_size = 8;
  // Fraction of the limit that is kept as reserve shares, 0 to 1.
  double reserve_fraction = 0.4;
};

// Returns the fair target of the VM `incarnation`, or no shares when it is not
// in `active`. VMs that plan from the same input get targets that add up to at
// most the limit.
//
// The rate is assigned in this order: measured demand, a margin for its
// fluctuation, a minimum rate for every VM, more headroom, and the rest in
// equal parts. The last two leave a tenth of the rate unassigned. The reserve
// of a VM without demand is assigned to others only when they need it.
AccountShares PlanShares(const PlanInput& input,
                         const std::string& incarnation);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_PLAN_H_
