#include "laburnumkeel/limits/account_allowance.h"

namespace laburnumkeel::limits {

namespace {

// Operations a second below which an account counts as unused.
constexpr double kNegligibleDemand = 0.02;
// The reserve is not leased from the coordinator and does not expire. The
// bucket needs an expiry, which is moved forward before it is reached.
constexpr std::chrono::hours kReserveLifetime{2};
constexpr std::chrono::hours kReserveRenewal{1};

}  // namespace

void AccountAllowance::SetReserve(const ShareAmount& reserve,
                                  kernel::Instant now) {
  const LeasedAmount& current = this->bucket.Reserve();
  if (current.amount == reserve && now + kReserveRenewal < current.expiry) {
    return;
  }
  this->bucket.Apply(this->bucket.Dynamic(), {reserve, now + kReserveLifetime},
                     now);
}

bool AccountAllowance::TryPass(kernel::Instant now) {
  if (this->operations > 0 && now < this->operations_expire_at) {
    --this->operations;
    return true;
  }
  return this->bucket.TryTake(now);
}

void AccountAllowance::OnGrant(const AccountGrant& grant, kernel::Instant sent,
                               kernel::Instant now) {
  this->bucket.Apply({grant.share, sent + RateCoordinator::kShareLifetime},
                     this->bucket.Reserve(), now);
  if (now >= this->operations_expire_at) {
    this->operations = 0;
  }
  if (grant.operations > 0) {
    this->operations += grant.operations;
    this->operations_expire_at = now + kOperationLifetime;
  }
}

AccountReport AccountAllowance::Report(int waiting, kernel::Instant now) const {
  AccountReport report;
  report.demand = this->meter.PerSecond(now);
  const LeasedAmount& share = this->bucket.Dynamic();
  if (now < share.expiry) {
    report.held = share.amount;
  }
  report.waiting_operations = waiting;
  return report;
}

bool AccountAllowance::IsUnused(kernel::Instant now) const {
  return this->meter.PerSecond(now) < kNegligibleDemand &&
         now >= this->bucket.Dynamic().expiry;
}

}  // namespace laburnumkeel::limits
