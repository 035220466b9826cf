#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_ALLOWANCE_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_ALLOWANCE_H_

#include <chrono>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/demand_meter.h"
#include "laburnumkeel/limits/rate_coordinator.h"
#include "laburnumkeel/limits/token_bucket.h"

namespace laburnumkeel::limits {

// What one VM may pass of one account: its share of the limit and the single
// operations that the coordinator granted.
class AccountAllowance {
 public:
  // An unused operation lapses, so that it cannot add to those of a later
  // window.
  static constexpr std::chrono::seconds kOperationLifetime{1};

  // Counts an operation that a client asks for.
  void CountDemand(kernel::Instant now) { this->meter.Count(now); }

  // What this VM may pass without a coordinator.
  void SetReserve(const ShareAmount& reserve, kernel::Instant now);

  // Passes one operation. False when nothing is left.
  bool TryPass(kernel::Instant now);

  // The answer to a report that was sent at `sent`.
  void OnGrant(const AccountGrant& grant, kernel::Instant sent,
               kernel::Instant now);

  AccountReport Report(int waiting, kernel::Instant now) const;

  // True when neither a share nor demand is left.
  bool IsUnused(kernel::Instant now) const;

 private:
  TokenBucket bucket;
  DemandMeter meter;
  int operations = 0;
  kernel::Instant operations_lapse;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_ALLOWANCE_H_
