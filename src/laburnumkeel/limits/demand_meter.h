#ifndef LABURNUMKEEL_LIMITS_DEMAND_METER_H_
#define LABURNUMKEEL_LIMITS_DEMAND_METER_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::limits {

// Requests a second of one account on one VM. Not thread-safe.
class DemandMeter {
 public:
  void Count(kernel::Instant now);

  // The larger of a fast and a slow moving average, so that a rise is seen at
  // once and a short gap does not give the share away. The slow one counts
  // only as far as the fast one makes it likely, so that after a drop the
  // share soon serves the VM to which demand moved.
  double PerSecond(kernel::Instant now) const;

 private:
  double SecondsSince(kernel::Instant now) const;

  double fast = 0;
  double slow = 0;
  kernel::Instant counted_at;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_DEMAND_METER_H_
