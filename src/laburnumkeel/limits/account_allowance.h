#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_ALLOWANCE_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_ALLOWANCE_H_

#include <chrono>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/demand_meter.h"
#include "laburnumkeel/limits/rate_coordinator.h"
#include "laburnumkeel/limits/token_bucket.h"

namespace laburnumkeel::limits {

// What one VM may pass of one account: its reserve, its share of the limit and
// the single operations that the coordinator granted.
class AccountAllowance {
 public:
  // Unused operations expire, so that they do not add to those of a later rate
  // window.
  static constexpr std::chrono::seconds kOperationLifetime{1};

  // Counts an operation that a client requests.
  void CountDemand(kernel::Instant now) { this->meter.Count(now); }

  // Sets what this VM may pass without a grant from the coordinator.
  void SetReserve(const ShareAmount& reserve, kernel::Instant now);

  // Takes one operation. False when none is available.
  bool TryPass(kernel::Instant now);

  // Applies the response to a report that was sent at `sent`.
  void OnGrant(const AccountGrant& grant, kernel::Instant sent,
               kernel::Instant now);

  // Operations that could pass now without a grant.
  double Available(kernel::Instant now) { return this->bucket.Available(now); }

  AccountReport Report(int waiting, kernel::Instant now) const;

  // True when the share has expired and there is no demand.
  bool IsUnused(kernel::Instant now) const;

 private:
  TokenBucket bucket;
  DemandMeter meter;
  int operations = 0;
  kernel::Instant operations_expire_at;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_ALLOWANCE_H_
