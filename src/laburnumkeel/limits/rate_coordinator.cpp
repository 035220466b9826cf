#include "laburnumkeel/limits/rate_coordinator.h"

#include <algorithm>

namespace laburnumkeel::limits {

namespace {

// The smallest burst that lets an operation pass.
constexpr double kOneOperation = 1.0;

// Demand that is assumed of each VM with a holding, as a part of the rate, so
// that a quiet VM keeps a little for its next client.
constexpr double kBaseDemand = 0.01;

ShareAmount Scaled(const ShareAmount& amount, double factor) {
  return {amount.rate * factor, amount.burst * factor};
}

}  // namespace

void RateCoordinator::Reset(const std::set<std::string>& silent,
                            kernel::Instant now) {
  this->published_silent = silent;
  this->accounts.clear();
  this->reported_at.clear();
  this->took_over = now;
}

std::set<std::string> RateCoordinator::SilentVms(kernel::Instant now) const {
  std::set<std::string> silent;
  for (const std::string& vm : this->vms) {
    const auto reported = this->reported_at.find(vm);
    const bool never = reported == this->reported_at.end();
    const bool has_lapsed = never ? this->published_silent.contains(vm) ||
                                        now >= this->took_over + kShareRemoval
                                  : now >= reported->second + kShareRemoval;
    if (has_lapsed) {
      silent.insert(vm);
    }
  }
  return silent;
}

void RateCoordinator::SetPublishedSilent(const std::set<std::string>& silent) {
  this->published_silent = silent;
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
      this->vms.begin(), this->vms.end(), [&](const std::string& vm) {
        return !this->reported_at.contains(vm) &&
               !this->published_silent.contains(vm);
      }));
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
  const ShareAmount most = Scaled(shared, kMaximumVmFraction);
  const int unknown_vms = this->UnknownVms(now);
  const ShareAmount unknown =
      Smaller(Scaled(most, unknown_vms), NotNegative(shared - others));
  const ShareAmount available =
      Larger(NotNegative(shared - others - unknown), report.held);
  AccountGrant grant;
  if (total_demand > 0 && available.burst >= kOneOperation &&
      !this->published_silent.contains(vm)) {
    ShareAmount target = Scaled(shared, (report.demand + base) / total_demand);
    // A share that never holds a whole operation is of no use.
    target.burst = std::max(target.burst, kOneOperation);
    grant.share =
        Smaller(Smaller(target, Larger(most, {0, kOneOperation})), available);
  }
  Holding& holding = account.holdings[vm];
  // An earlier grant that the VM has not confirmed may still reach it.
  const ShareAmount unconfirmed =
      report.held == holding.last_grant ? ShareAmount() : holding.counted;
  holding.counted = Larger(Larger(grant.share, report.held), unconfirmed);
  holding.last_grant = grant.share;
  holding.demand = report.demand;
  holding.lapses = now + kShareRemoval;

  const int vm_count = static_cast<int>(this->vms.size());
  const ShareAmount rest =
      NotNegative(Scaled(limit, 1 - ReservedFraction(vm_count)) - others -
                  holding.counted - unknown);
  // The expiry only has to lie beyond the next call.
  account.remainder.Apply({rest, now + std::chrono::hours(1)}, {}, now);
  while (grant.operations < report.wanted && account.remainder.TryTake(now)) {
    ++grant.operations;
  }
  return grant;
}

}  // namespace laburnumkeel::limits
