#ifndef LABURNUMKEEL_LIMITS_DEMAND_METER_H_
#define LABURNUMKEEL_LIMITS_DEMAND_METER_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::limits {

// Measures the requests a second of one account on one VM. Not thread-safe.
class DemandMeter {
 public:
  void Count(kernel::Instant now);

  // The larger of a fast and a slow moving average, so that a rise shows at
  // once and a short gap does not lose the share. The slow one is capped at the
  // highest demand that the fast one makes likely, so that after a drop the
  // share soon moves to the VM to which demand moved.
  double PerSecond(kernel::Instant now) const;

 private:
  double SecondsSince(kernel::Instant now) const;

  double fast = 0;
  double slow = 0;
  kernel::Instant counted_at;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_DEMAND_METER_H_
