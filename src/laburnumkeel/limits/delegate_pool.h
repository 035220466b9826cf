#ifndef LABURNUMKEEL_LIMITS_DELEGATE_POOL_H_
#define LABURNUMKEEL_LIMITS_DELEGATE_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_amount.h"
#include "laburnumkeel/limits/token_bucket.h"
#include "laburnumkeel/membership/delegate_ring.h"

namespace laburnumkeel::limits {

// What a delegate answers to a request for operations.
struct DelegateGrant {
  int operations = 0;
  // When operations were not granted: the time after which one is available.
  std::chrono::milliseconds retry_after{0};

  bool operator==(const DelegateGrant&) const = default;
};

// The parts of accounts' limits that this VM grants to others as a delegate.
// Each of the account's places in the ring has an equal part, which needs no
// coordinator while the ring is known to be in force.
//
// Load patterns: an account sends several times its usual rate, within its
// limit, to more VMs than its burst has operations; the leader is lost or the
// store is down; all VMs are restarted at once.
//
// An account's delegates together pass no more than their part of the limit in
// any window: there are never more of them than places, each starts with an
// empty bucket, and a VM that is not told that its ring is in force stops
// before another one may take its place.
class DelegatePool {
 public:
  // The part of a limit that all delegates of an account hold together.
  static constexpr double kFraction = 0.84;
  // A VM follows a ring for this long after it asked for the confirmation that
  // it is in force. Covers an outage of the store of several seconds during
  // which the leader is lost, and the 6 s until there is another one.
  static constexpr std::chrono::milliseconds kConfirmationLifetime{20000};
  // A VM uses granted operations within this time after it has requested them.
  // What delegates could grant in this time is taken off their burst.
  static constexpr std::chrono::milliseconds kOperationLifetime{400};
  // A VM in need of an operation is not told to wait longer than this.
  static constexpr std::chrono::milliseconds kLongestRetry{250};

  explicit DelegatePool(std::string vm) : vm(std::move(vm)) {}

  // The part of a limit at one place.
  static ShareAmount Part(const ShareAmount& limit);

  // Follows `ring`, which was in force at `confirmed_at`. Returns true when it
  // is newer than the one followed before; older ones are ignored.
  bool Follow(const membership::DelegateRing& new_ring,
              kernel::Instant confirmed_at, kernel::Instant now);

  // The ring of `revision` was in force at `confirmed_at`.
  void Confirm(std::uint64_t revision, kernel::Instant confirmed_at,
               kernel::Instant now);

  // Replaces the limits of all accounts.
  void SetLimits(const std::map<std::string, ShareAmount>& new_limits,
                 kernel::Instant now);

  // Takes up to `wanted` operations of an account.
  DelegateGrant Take(const std::string& account, int wanted,
                     kernel::Instant now);

  const membership::DelegateRing& Ring() const { return this->ring; }
  // Accounts of which this VM is a delegate.
  std::size_t AccountCount() const { return this->accounts.size(); }
  // True while this VM may act as a delegate.
  bool IsConfirmed(kernel::Instant now) const {
    return now < this->confirmed_until;
  }

 private:
  struct Account {
    TokenBucket bucket;
    // Until then, all operations are expected by VMs that were told to wait.
    kernel::Instant expected_until;
  };

  void AssignPlaces(kernel::Instant now);
  void Extend(kernel::Instant now);

  const std::string vm;
  membership::DelegateRing ring;
  kernel::Instant confirmed_until;
  std::map<std::string, ShareAmount> limits;
  std::map<std::string, Account> accounts;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_DELEGATE_POOL_H_
