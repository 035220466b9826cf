#include "laburnumkeel/limits/rate_coordinator.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "laburnumkeel/limits/delegate_pool.h"

namespace laburnumkeel::limits {

namespace {

// The smallest burst that lets an operation pass.
constexpr double kOneOperation = 1.0;

// Demand that is assumed of each VM with a holding, as a fraction of the rate,
// so that an idle VM keeps a small share for its next client.
constexpr double kBaseDemand = 0.01;

// A VM gets at most this many times its equal part of the shares: clients are
// distributed unevenly, but over many VMs.
constexpr double kMaximumEqualParts = 5;

// Fraction of the central pool that is withheld for a successor. Until the next
// publication, an account within its rate needs no more than the refill and the
// remaining fraction. If it needs more, the publication is brought forward.
constexpr double kWithheldFraction = 0.75;

// Bounds the size of the published row: at 30 bytes an account, it is half of
// the largest row that the store accepts.
constexpr std::size_t kMaximumWithheldAccounts = 1000;

// The central pool is used by the coordinator only and is not leased.
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
  this->CountUnknownVms();
}

std::set<std::string> RateCoordinator::InactiveVms(kernel::Instant now) const {
  std::set<std::string> inactive;
  for (const std::string& vm : this->vms) {
    const auto reported = this->reported_at.find(vm);
    const bool never_reported = reported == this->reported_at.end();
    const bool has_expired =
        never_reported ? this->published_inactive.contains(vm) ||
                             now >= this->lease_acquired_at + kShareRemovalAge
                       : now >= reported->second + kShareRemovalAge;
    if (has_expired) {
      inactive.insert(vm);
    }
  }
  return inactive;
}

void RateCoordinator::SetPublishedInactive(
    const std::set<std::string>& inactive) {
  this->published_inactive = inactive;
  this->CountUnknownVms();
}

WithheldOperations RateCoordinator::ProposeWithheld(kernel::Instant now) {
  WithheldOperations proposal = this->inherited;
  const int vm_count = static_cast<int>(this->vms.size());
  for (auto& [name, account] : this->accounts) {
    // At most what is left when all shares are assigned, so that a growing
    // share cannot use up what is withheld.
    const double maximum = SmallestCentralPool(account.limit, vm_count).burst;
    proposal[name] = static_cast<std::int64_t>(
        std::min(account.central_pool.Available(now), maximum) *
        kWithheldFraction);
  }
  // Accounts at their limit need no room in the published row.
  std::erase_if(proposal, [](const auto& entry) { return entry.second == 0; });
  while (proposal.size() > kMaximumWithheldAccounts) {
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

double RateCoordinator::CoordinatedFraction(int vm_count) const {
  return 1 - ReservedFraction(vm_count) -
         (this->is_delegating ? DelegatePool::kFraction : 0);
}

ShareAmount RateCoordinator::SmallestCentralPool(const ShareAmount& limit,
                                                 int vm_count) const {
  return Scaled(limit, std::max(0.0, this->CoordinatedFraction(vm_count) -
                                         this->ShareFraction()));
}

bool RateCoordinator::MayHoldShares(kernel::Instant now) {
  return this->UnknownVms(now) > 0 ||
         std::any_of(
             this->accounts.begin(), this->accounts.end(), [now](auto& entry) {
               entry.second.holdings.Expire(now);
               return !IsAtMost(entry.second.holdings.CountedByOthers(""), {});
             });
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
    // The central pool has been unused, and so refilling, since this
    // coordinator acquired the leader lease.
    account.central_pool = TokenBucket(tokens, this->lease_acquired_at);
    account.central_pool.Apply(
        {SmallestCentralPool(limit, static_cast<int>(this->vms.size())),
         kNoExpiry},
        {}, this->lease_acquired_at);
  }
  return account;
}

void RateCoordinator::SetVms(const std::set<std::string>& names) {
  this->vms = names;
  this->CountUnknownVms();
}

void RateCoordinator::OnReported(const std::string& vm, bool is_complete,
                                 kernel::Instant now) {
  if (!is_complete) {
    return;
  }
  const auto [entry, is_first] = this->reported_at.insert_or_assign(vm, now);
  if (is_first) {
    this->CountUnknownVms();
  }
}

void RateCoordinator::OnLeft(const std::string& vm) {
  for (auto& [name, account] : this->accounts) {
    account.holdings.Remove(vm);
  }
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
                  kMaximumEqualParts / std::max(vm_count, 1));
}

ShareAmount RateCoordinator::UnknownShare(const ShareAmount& shared,
                                          int vm_count) {
  // The predecessor may have known fewer VMs.
  const double fraction =
      std::min(kMaximumVmFraction, 2 * MaximumVmFraction(vm_count));
  return Larger(Scaled(shared, fraction), {0, kOneOperation});
}

int RateCoordinator::UnknownVms(kernel::Instant now) const {
  return now >= this->lease_acquired_at + kShareRemovalAge ? 0
                                                           : this->unknown_vms;
}

void RateCoordinator::CountUnknownVms() {
  this->unknown_vms = static_cast<int>(std::count_if(
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
  account.holdings.Expire(now);
  const double base = limit.rate * kBaseDemand;
  const ShareAmount others = account.holdings.CountedByOthers(vm);
  const double total_demand =
      report.demand + account.holdings.DemandOfOthers(vm) +
      base * static_cast<double>(1 + account.holdings.OtherVms(vm));
  const ShareAmount shared = Scaled(limit, this->ShareFraction());
  const int vm_count = static_cast<int>(this->vms.size());
  const ShareAmount maximum = Scaled(shared, MaximumVmFraction(vm_count));
  const ShareAmount unknown =
      Smaller(Scaled(UnknownShare(shared, vm_count), this->UnknownVms(now)),
              NotNegative(shared - others));
  const ShareAmount available =
      Larger(NotNegative(shared - others - unknown), report.held);
  AccountGrant grant;
  if (total_demand > 0 && available.burst >= kOneOperation &&
      !this->published_inactive.contains(vm)) {
    ShareAmount target = Scaled(shared, (report.demand + base) / total_demand);
    // A bucket that holds less than one operation never lets one pass.
    target.burst = std::max(target.burst, kOneOperation);
    grant.share = Smaller(Smaller(target, Larger(maximum, {0, kOneOperation})),
                          available);
    grant.share = {RoundedDown(grant.share.rate),
                   RoundedDown(grant.share.burst)};
  }
  ShareHoldings::Holding holding = account.holdings.Find(vm);
  // An earlier grant that the VM has not confirmed may still reach it.
  const ShareAmount unconfirmed =
      report.held == holding.last_grant ? ShareAmount() : holding.counted;
  holding.counted = Larger(Larger(grant.share, report.held), unconfirmed);
  holding.last_grant = grant.share;
  holding.demand = report.demand;
  account.holdings.Set(vm, holding, now + kShareRemovalAge);

  const ShareAmount rest =
      NotNegative(Scaled(limit, this->CoordinatedFraction(vm_count)) - others -
                  holding.counted - unknown);
  account.central_pool.Apply({rest, kNoExpiry}, {}, now);
  const double withheld = this->Withheld(name);
  while (grant.operations < report.waiting_operations &&
         account.central_pool.Available(now) >= withheld + kOneOperation &&
         account.central_pool.TryTake(now)) {
    ++grant.operations;
  }
  grant.is_more_pending = grant.operations < report.waiting_operations &&
                          account.central_pool.Available(now) >= kOneOperation;
  this->is_withheld_needed |= grant.is_more_pending;
  return grant;
}

}  // namespace laburnumkeel::limits
