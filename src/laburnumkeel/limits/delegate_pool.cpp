#include "laburnumkeel/limits/delegate_pool.h"

#include <algorithm>

namespace laburnumkeel::limits {

using kernel::Instant;
using std::chrono::milliseconds;

namespace {

constexpr double kPlaces = membership::DelegateRing::kPlaces;

}  // namespace

ShareAmount DelegatePool::Part(const ShareAmount& limit) {
  const double late =
      limit.rate * std::chrono::duration<double>(kOperationLifetime).count();
  return {limit.rate * kFraction / kPlaces,
          std::max(0.0, limit.burst - late) * kFraction / kPlaces};
}

bool DelegatePool::Follow(const membership::DelegateRing& new_ring,
                          Instant confirmed_at, Instant now) {
  if (new_ring.revision <= this->ring.revision) {
    this->Confirm(new_ring.revision, confirmed_at, now);
    return false;
  }
  this->ring = new_ring;
  this->confirmed_until =
      std::max(this->confirmed_until, confirmed_at + kConfirmationLifetime);
  this->AssignPlaces(now);
  return true;
}

void DelegatePool::Confirm(std::uint64_t revision, Instant confirmed_at,
                           Instant now) {
  if (revision == this->ring.revision) {
    this->confirmed_until =
        std::max(this->confirmed_until, confirmed_at + kConfirmationLifetime);
    this->Extend(now);
  }
}

void DelegatePool::SetLimits(
    const std::map<std::string, ShareAmount>& new_limits, Instant now) {
  if (this->limits == new_limits) {
    return;
  }
  this->limits = new_limits;
  this->AssignPlaces(now);
}

void DelegatePool::AssignPlaces(Instant now) {
  // An account that this VM has lost loses its tokens, also when it returns.
  std::erase_if(this->accounts, [this](const auto& entry) {
    return !this->limits.contains(entry.first) ||
           !this->ring.IsDelegate(entry.first, this->vm);
  });
  for (const auto& [account, limit] : this->limits) {
    if (this->ring.IsDelegate(account, this->vm)) {
      this->accounts[account];
    }
  }
  this->Extend(now);
}

void DelegatePool::Extend(Instant now) {
  for (auto& [name, account] : this->accounts) {
    account.bucket.Apply({Part(this->limits.at(name)), this->confirmed_until},
                         {}, now);
  }
}

DelegateGrant DelegatePool::Take(const std::string& name, int wanted,
                                 Instant now) {
  DelegateGrant grant;
  const auto found = this->accounts.find(name);
  if (found == this->accounts.end() || !this->IsConfirmed(now)) {
    grant.retry_after = kLongestRetry;
    return grant;
  }
  Account& account = found->second;
  while (grant.operations < wanted && account.bucket.TryTake(now)) {
    ++grant.operations;
  }
  const double rate = account.bucket.Rate(now);
  if (grant.operations == wanted || rate <= 0) {
    return grant;
  }
  // VMs that wait are told times one operation apart, so that they do not all
  // ask for the next one.
  const double seconds =
      std::max(0.0, 1 - account.bucket.Available(now)) / rate;
  const Instant next = now + std::chrono::duration_cast<kernel::Duration>(
                                 std::chrono::duration<double>(seconds));
  const auto interval = std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(1 / rate));
  const Instant expected =
      std::max(next, std::min(account.expected_until, next + kLongestRetry));
  account.expected_until = expected + interval;
  grant.retry_after =
      std::min(std::chrono::ceil<milliseconds>(expected - now), kLongestRetry);
  return grant;
}

}  // namespace laburnumkeel::limits
