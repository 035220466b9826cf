#include "laburnumkeel/limits/rate_coordinator.h"

#include <algorithm>

namespace laburnumkeel::limits {

namespace {

// Demand that is assumed of each VM with a holding, as a part of the rate, so
// that a quiet VM keeps a little for its next client.
constexpr double kBaseDemand = 0.01;

ShareAmount Scaled(const ShareAmount& amount, double factor) {
  return {amount.rate * factor, amount.burst * factor};
}

}  // namespace

void RateCoordinator::Reset(kernel::Instant now) {
  this->accounts.clear();
  this->reported_at.clear();
  this->took_over = now;
}

void RateCoordinator::SetVms(const std::set<std::string>& names) {
  this->vms = names;
}

void RateCoordinator::OnReported(const std::string& vm, const std::string&,
                                 kernel::Instant now) {
  this->reported_at[vm] = now;
}

double RateCoordinator::ReservedFraction(int vm_count) {
  return kReserveFraction * std::min(1.0, static_cast<double>(kReserveVms) /
                                              std::max(vm_count, 1));
}

ShareAmount RateCoordinator::Reserve(const ShareAmount& limit, int vm_count) {
  return Scaled(limit, ReservedFraction(vm_count) / std::max(vm_count, 1));
}

int RateCoordinator::UnknownVms(kernel::Instant now) const {
  if (now >= this->took_over + kShareRemoval) {
    return 0;
  }
  return static_cast<int>(std::count_if(
      this->vms.begin(), this->vms.end(),
      [&](const std::string& vm) { return !this->reported_at.contains(vm); }));
}

int RateCoordinator::ReportingVms(kernel::Instant now) const {
  return static_cast<int>(std::count_if(
      this->reported_at.begin(), this->reported_at.end(),
      [&](const auto& entry) { return now < entry.second + kShareLifetime; }));
}

AccountGrant RateCoordinator::Assign(const std::string& vm,
                                     const std::string& name,
                                     const ShareAmount& limit,
                                     const AccountReport& report,
                                     kernel::Instant now) {
  Account& account = this->accounts[name];
  std::erase_if(account.holdings,
                [&](const auto& entry) { return now >= entry.second.lapses; });
  const double base = limit.rate * kBaseDemand;
  ShareAmount others;
  double total_demand = report.demand + base;
  for (const auto& [holder, holding] : account.holdings) {
    if (holder != vm) {
      others = others + holding.counted;
      total_demand += holding.demand + base;
    }
  }
  const ShareAmount shared = Scaled(limit, kShareFraction);
  ShareAmount target;
  if (total_demand > 0) {
    target = Scaled(shared, (report.demand + base) / total_demand);
  }
  const ShareAmount most = Scaled(shared, kMaximumVmFraction);
  const ShareAmount unknown = Scaled(most, this->UnknownVms(now));
  const ShareAmount available = NotNegative(shared - others - unknown);
  AccountGrant grant;
  grant.share = Smaller(Smaller(target, most), Larger(available, report.held));
  Holding& holding = account.holdings[vm];
  // An earlier grant that the VM has not confirmed may still reach it.
  const ShareAmount unconfirmed =
      report.held == holding.last_grant ? ShareAmount() : holding.counted;
  holding.counted = Larger(Larger(grant.share, report.held), unconfirmed);
  holding.last_grant = grant.share;
  holding.demand = report.demand;
  holding.lapses = now + kShareRemoval;

  // The expiry only has to lie beyond the next call.
  const LeasedAmount rest{Scaled(
          limit, 1 - kShareFraction -
                     ReservedFraction(static_cast<int>(this->vms.size()))),
                          now + std::chrono::hours(1)};
  if (account.remainder.Dynamic().amount != rest.amount ||
      now + kShareLifetime >= account.remainder.Dynamic().expiry) {
    account.remainder.Apply(rest, {}, now);
  }
  while (grant.operations < report.wanted && account.remainder.TryTake(now)) {
    ++grant.operations;
  }
  return grant;
}

}  // namespace laburnumkeel::limits
