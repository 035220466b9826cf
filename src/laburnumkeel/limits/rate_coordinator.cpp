#include "laburnumkeel/limits/rate_coordinator.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace laburnumkeel::limits {

namespace {

// The smallest burst that lets an operation pass.
constexpr double kOneOperation = 1.0;

// Demand that is assumed of each VM with a holding, as a part of the rate, so
// that a quiet VM keeps a little for its next client.
constexpr double kBaseDemand = 0.01;

// A VM gets at most this many times its equal part of the shares: clients are
// spread unevenly, but over many VMs.
constexpr double kEqualPartsOfOneVm = 5;

// Part of what is left that is withheld for a successor. An account within its
// rate needs no more than the refill and the other part until the next
// publication, which comes early when it does.
constexpr double kWithheldPart = 0.75;

// Bounds the row that is published: with 30 bytes an account this is half of
// what the store takes in a row.
constexpr std::size_t kMostWithheldAccounts = 1000;

// The coordinator itself uses the remainder, until the next change of it.
constexpr kernel::Instant kNoExpiry = kernel::Instant::max();

double RoundedDown(double amount) {
  constexpr double kRoundingError = 1e-6;
  return std::floor(amount * kUnitsPerOperation + kRoundingError) /
         kUnitsPerOperation;
}

ShareAmount Scaled(const ShareAmount& amount, double factor) {
  return {amount.rate * factor, amount.burst * factor};
}

}  // namespace

void RateCoordinator::Reset(const std::set<std::string>& inactive,
                            const WithheldOperations& withheld,
                            kernel::Instant now) {
  this->published_inactive = inactive;
  this->inherited = withheld;
  this->published_withheld.clear();
  this->proposed_withheld.clear();
  this->accounts.clear();
  this->reported_at.clear();
  this->lease_acquired_at = now;
}

std::set<std::string> RateCoordinator::InactiveVms(kernel::Instant now) const {
  std::set<std::string> inactive;
  for (const std::string& vm : this->vms) {
    const auto reported = this->reported_at.find(vm);
    const bool never = reported == this->reported_at.end();
    const bool has_lapsed =
        never ? this->published_inactive.contains(vm) ||
                    now >= this->lease_acquired_at + kShareRemoval
              : now >= reported->second + kShareRemoval;
    if (has_lapsed) {
      inactive.insert(vm);
    }
  }
  return inactive;
}

void RateCoordinator::SetPublishedInactive(
    const std::set<std::string>& inactive) {
  this->published_inactive = inactive;
}

WithheldOperations RateCoordinator::ProposeWithheld(kernel::Instant now) {
  WithheldOperations proposal = this->inherited;
  const int vm_count = static_cast<int>(this->vms.size());
  for (auto& [name, account] : this->accounts) {
    // Never more than what shares leave, so that a growing share cannot take
    // away what is withheld.
    const double most = SmallestRemainder(account.limit, vm_count).burst;
    proposal[name] = static_cast<std::int64_t>(
        std::min(account.remainder.Available(now), most) * kWithheldPart);
  }
  // Accounts at their limit need no room in the published row.
  std::erase_if(proposal, [](const auto& entry) { return entry.second == 0; });
  while (proposal.size() > kMostWithheldAccounts) {
    proposal.erase(std::prev(proposal.end()));
  }
  for (const auto& [name, withheld] : proposal) {
    std::int64_t& proposed = this->proposed_withheld[name];
    proposed = std::max(proposed, withheld);
  }
  return proposal;
}

void RateCoordinator::SetPublishedWithheld(const WithheldOperations& withheld) {
  this->published_withheld = withheld;
  this->proposed_withheld.clear();
  this->is_withheld_needed = false;
}

double RateCoordinator::Withheld(const std::string& name) const {
  std::int64_t withheld = 0;
  for (const WithheldOperations* known :
       {&this->published_withheld, &this->proposed_withheld}) {
    const auto found = known->find(name);
    if (found != known->end()) {
      withheld = std::max(withheld, found->second);
    }
  }
  return static_cast<double>(withheld);
}

ShareAmount RateCoordinator::SmallestRemainder(const ShareAmount& limit,
                                               int vm_count) {
  return Scaled(limit, 1 - ReservedFraction(vm_count) - kShareFraction);
}

RateCoordinator::Account& RateCoordinator::FindOrAdd(const std::string& name,
                                                     const ShareAmount& limit) {
  const auto [entry, is_new] = this->accounts.try_emplace(name);
  Account& account = entry->second;
  account.limit = limit;
  if (is_new) {
    const auto withheld = this->inherited.find(name);
    double tokens = 0;
    if (withheld != this->inherited.end()) {
      tokens = static_cast<double>(withheld->second);
      this->inherited.erase(withheld);
    }
    // What shares leave has been unused since this coordinator acquired the
    // lease.
    account.remainder = TokenBucket(tokens, this->lease_acquired_at);
    account.remainder.Apply(
        {SmallestRemainder(limit, static_cast<int>(this->vms.size())),
         kNoExpiry},
        {}, this->lease_acquired_at);
  }
  return account;
}

void RateCoordinator::SetVms(const std::set<std::string>& names) {
  this->vms = names;
}

void RateCoordinator::OnReported(const std::string& vm, kernel::Instant now) {
  this->reported_at[vm] = now;
}

double RateCoordinator::ReservedFraction(int vm_count) {
  return kReserveFraction * std::min(1.0, static_cast<double>(kReserveVms) /
                                              std::max(vm_count, 1));
}

ShareAmount RateCoordinator::Reserve(const ShareAmount& limit, int vm_count) {
  return Scaled(limit, ReservedFraction(vm_count) / std::max(vm_count, 1));
}

double RateCoordinator::MaximumVmFraction(int vm_count) {
  return std::min(kMaximumVmFraction,
                  kEqualPartsOfOneVm / std::max(vm_count, 1));
}

ShareAmount RateCoordinator::UnknownShare(const ShareAmount& shared,
                                          int vm_count) {
  // The predecessor may have known fewer VMs.
  const double fraction =
      std::min(kMaximumVmFraction, 2 * MaximumVmFraction(vm_count));
  return Larger(Scaled(shared, fraction), {0, kOneOperation});
}

int RateCoordinator::UnknownVms(kernel::Instant now) const {
  if (now >= this->lease_acquired_at + kShareRemoval) {
    return 0;
  }
  return static_cast<int>(std::count_if(
      this->vms.begin(), this->vms.end(), [&](const std::string& vm) {
        return !this->reported_at.contains(vm) &&
               !this->published_inactive.contains(vm);
      }));
}

AccountGrant RateCoordinator::Assign(const std::string& vm,
                                     const std::string& name,
                                     const ShareAmount& limit,
                                     const AccountReport& report,
                                     kernel::Instant now) {
  Account& account = this->FindOrAdd(name, limit);
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
  const int vm_count = static_cast<int>(this->vms.size());
  const ShareAmount most = Scaled(shared, MaximumVmFraction(vm_count));
  const ShareAmount unknown =
      Smaller(Scaled(UnknownShare(shared, vm_count), this->UnknownVms(now)),
              NotNegative(shared - others));
  const ShareAmount available =
      Larger(NotNegative(shared - others - unknown), report.held);
  AccountGrant grant;
  if (total_demand > 0 && available.burst >= kOneOperation &&
      !this->published_inactive.contains(vm)) {
    ShareAmount target = Scaled(shared, (report.demand + base) / total_demand);
    // A share that never holds a whole operation is of no use.
    target.burst = std::max(target.burst, kOneOperation);
    grant.share =
        Smaller(Smaller(target, Larger(most, {0, kOneOperation})), available);
    grant.share = {RoundedDown(grant.share.rate),
                   RoundedDown(grant.share.burst)};
  }
  Holding& holding = account.holdings[vm];
  // An earlier grant that the VM has not confirmed may still reach it.
  const ShareAmount unconfirmed =
      report.held == holding.last_grant ? ShareAmount() : holding.counted;
  holding.counted = Larger(Larger(grant.share, report.held), unconfirmed);
  holding.last_grant = grant.share;
  holding.demand = report.demand;
  holding.lapses = now + kShareRemoval;

  const ShareAmount rest =
      NotNegative(Scaled(limit, 1 - ReservedFraction(vm_count)) - others -
                  holding.counted - unknown);
  account.remainder.Apply({rest, kNoExpiry}, {}, now);
  const double withheld = this->Withheld(name);
  while (grant.operations < report.waiting_operations &&
         account.remainder.Available(now) >= withheld + kOneOperation &&
         account.remainder.TryTake(now)) {
    ++grant.operations;
  }
  grant.is_more_pending = grant.operations < report.waiting_operations &&
                          account.remainder.Available(now) >= kOneOperation;
  this->is_withheld_needed |= grant.is_more_pending;
  return grant;
}

}  // namespace laburnumkeel::limits
