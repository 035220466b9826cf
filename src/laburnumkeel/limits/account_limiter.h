#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_LIMITER_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_LIMITER_H_

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/account_demand.h"
#include "laburnumkeel/limits/account_usage.h"
#include "laburnumkeel/limits/limit_decision.h"
#include "laburnumkeel/limits/share.h"

namespace laburnumkeel::limits {

// Applies the limits of all accounts in the entry program of one VM.
// Thread-safe.
template <kernel::Clock ClockType>
class AccountLimiter {
 public:
  explicit AccountLimiter(ClockType clock) : clock(std::move(clock)) {}

  // Takes a token for one request of an authenticated account. Every call
  // counts as demand, allowed or not. The decision is final.
  LimitDecision TryTake(const std::string& account) {
    const std::lock_guard lock(this->mutex);
    // The time is read under the lock, so that it does not go backwards
    // between two requests of an account.
    return this->accounts[account].TryTake(this->clock.Now());
  }

  // As TryTake, but if `retry_after` of the decision is not 0, the request
  // waits: call Retry after that time, or StopWaiting. The number of waiting
  // requests is bounded by what the share can serve in 1 s, but not below 16.
  LimitDecision TakeOrWait(const std::string& account) {
    const std::lock_guard lock(this->mutex);
    return this->accounts[account].TakeOrWait(this->clock.Now());
  }

  // Tries again for a request that has waited for `waited` in total.
  LimitDecision Retry(const std::string& account, kernel::Duration waited) {
    const std::lock_guard lock(this->mutex);
    return this->accounts[account].Retry(waited, this->clock.Now());
  }

  // Removes a waiting request that was cancelled, for example by its caller.
  void StopWaiting(const std::string& account) {
    const std::lock_guard lock(this->mutex);
    this->accounts[account].StopWaiting();
  }

  // Replaces all shares of this VM. An account or kind that is not in
  // `shares` loses its share and tokens at once.
  void Apply(const std::vector<Share>& shares) {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->clock.Now();
    for (const Share& share : shares) {
      this->accounts[share.account];
    }
    for (auto& [account, usage] : this->accounts) {
      usage.Apply(Find(shares, account, ShareKind::kDynamic),
                  Find(shares, account, ShareKind::kReserve), now);
    }
    this->RemoveIdle(shares, now);
  }

  // Demand of every account that has a share or recent requests.
  std::vector<AccountDemand> Demand() {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->clock.Now();
    std::vector<AccountDemand> demands;
    for (const auto& [account, usage] : this->accounts) {
      demands.push_back(AccountDemand{account, usage.Demand(now)});
    }
    return demands;
  }

 private:
  static LeasedAmount Find(const std::vector<Share>& shares,
                           const std::string& account, ShareKind kind) {
    const auto share =
        std::find_if(shares.begin(), shares.end(), [&](const Share& candidate) {
          return candidate.account == account && candidate.kind == kind;
        });
    return share == shares.end() ? LeasedAmount{}
                                 : LeasedAmount{share->amount, share->expiry};
  }

  // Bounds the memory to accounts that have shares, demand or waiting requests.
  void RemoveIdle(const std::vector<Share>& shares, kernel::Instant now) {
    constexpr double kIdle = 1e-3;
    std::erase_if(this->accounts, [&](const auto& item) {
      return item.second.Demand(now) < kIdle && !item.second.IsWaiting() &&
             std::none_of(shares.begin(), shares.end(),
                          [&](const Share& share) {
                            return share.account == item.first;
                          });
    });
  }

  ClockType clock;
  std::mutex mutex;
  std::map<std::string, AccountUsage> accounts;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_LIMITER_H_
