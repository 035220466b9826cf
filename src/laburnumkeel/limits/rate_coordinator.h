#ifndef LABURNUMKEEL_LIMITS_RATE_COORDINATOR_H_
#define LABURNUMKEEL_LIMITS_RATE_COORDINATOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_amount.h"
#include "laburnumkeel/limits/token_bucket.h"

namespace laburnumkeel::limits {

// VMs exchange amounts as whole units, this many to an operation, so that a VM
// confirms exactly what it was granted.
inline constexpr double kUnitsPerOperation = 1000;

// What a VM reports about one account.
struct AccountReport {
  // Operations a second that clients ask for.
  double demand = 0;
  // The share that the VM uses.
  ShareAmount held;
  // Single operations that wait for a grant.
  int waiting_operations = 0;

  bool operator==(const AccountReport&) const = default;
};

// What a VM may pass: a share until it lapses, and single operations.
struct AccountGrant {
  ShareAmount share;
  int operations = 0;
  // More can be granted once the coordinator has published that it withholds
  // less: waiting for it is better than being refused.
  bool is_more_pending = false;

  bool operator==(const AccountGrant&) const = default;
};

// Whole operations of each account that a coordinator has not granted, so that
// its successor can.
using WithheldOperations = std::map<std::string, std::int64_t>;

// Splits the limit of each account over the VMs, on the one VM that holds the
// leader lease. Most of a limit is given out as shares, which follow demand and
// stay valid while the coordinator is away; the rest is granted as single
// operations.
//
// Load patterns: clients of an account that all reach a few VMs; clients that
// move to other VMs; an account far above its rate; the coordinator's VM lost;
// all clients at once, at the start or after all VMs were restarted.
//
// The sum of what VMs hold never exceeds a limit: a share that was lowered
// counts in full until its VM reports that it uses the lower one, or until it
// has lapsed; a new coordinator leaves alone what VMs that have not reported
// may hold, until all shares of its predecessor have lapsed.
class RateCoordinator {
 public:
  // A VM stops using a share this long after it sent the report that the share
  // answers. It covers the loss of the coordinator's VM and the 6 s after which
  // another VM acquires the lease.
  static constexpr std::chrono::milliseconds kShareLifetime{8000};
  // The coordinator counts a share for longer, for the drift of clocks.
  static constexpr std::chrono::milliseconds kShareRemoval{8800};
  // Parts of a limit: what is given out as shares, and what each VM may use an
  // equal part of without being told. The rest is granted by the operation.
  static constexpr double kShareFraction = 0.55;
  static constexpr double kReserveFraction = 0.2;
  // With more VMs than this, the reserve of one VM is below what a client
  // needs, so that the reserve shrinks in favour of single operations.
  static constexpr int kReserveVms = 8;
  // Part of all shares that one VM can hold at most, so that the shares of a
  // few VMs that a new coordinator cannot reach do not block all others.
  static constexpr double kMaximumVmFraction = 0.6;

  // The part of a limit that all reserves take together.
  static double ReservedFraction(int vm_count);

  // The part of a limit that one of `vm_count` VMs may use without being told.
  static ShareAmount Reserve(const ShareAmount& limit, int vm_count);

  // Acquires the leader lease: what was given out before is unknown, but that
  // the VMs in `inactive` hold nothing and that `withheld` was not granted.
  void Reset(const std::set<std::string>& inactive,
             const WithheldOperations& withheld, kernel::Instant now);

  // An account that may have no clients yet; a successor gets what it leaves.
  void AddAccount(const std::string& name, const ShareAmount& limit) {
    this->FindOrAdd(name, limit);
  }

  // What to publish for a successor. Not granted from now on, and neither is
  // what was proposed before, until SetPublishedWithheld tells which one is in
  // force.
  WithheldOperations ProposeWithheld(kernel::Instant now);

  // A successor would find these.
  void SetPublishedWithheld(const WithheldOperations& withheld);

  // True when an operation was refused only because it is withheld: publishing
  // less makes it available.
  bool IsWithheldNeeded() const { return this->is_withheld_needed; }

  // VMs whose last share has lapsed. The leader publishes them for
  // its successor, and tells the coordinator with SetPublishedInactive.
  std::set<std::string> InactiveVms(kernel::Instant now) const;

  // These VMs get no share until a later call leaves them out.
  void SetPublishedInactive(const std::set<std::string>& inactive);

  // The VMs that may hold shares.
  void SetVms(const std::set<std::string>& names);

  // A VM has reported what it holds of all accounts.
  void OnReported(const std::string& vm, kernel::Instant now);

  // `limit` is what all VMs together may pass.
  AccountGrant Assign(const std::string& vm, const std::string& account,
                      const ShareAmount& limit, const AccountReport& report,
                      kernel::Instant now);

 private:
  struct Holding {
    ShareAmount counted;
    ShareAmount last_grant;
    double demand = 0;
    kernel::Instant lapses;
  };
  struct Account {
    std::map<std::string, Holding> holdings;
    ShareAmount limit;
    // For single operations.
    TokenBucket remainder;
  };

  // Part of all shares that one of `vm_count` VMs can hold.
  static double MaximumVmFraction(int vm_count);
  // What a VM that has not reported may hold of the predecessor's shares.
  static ShareAmount UnknownShare(const ShareAmount& shared, int vm_count);
  // What is left for single operations when all shares are given out.
  static ShareAmount SmallestRemainder(const ShareAmount& limit, int vm_count);

  Account& FindOrAdd(const std::string& name, const ShareAmount& limit);
  // Operations of an account that a successor may find.
  double Withheld(const std::string& name) const;

  // VMs that may hold a share of the coordinator before.
  int UnknownVms(kernel::Instant now) const;

  std::map<std::string, Account> accounts;
  std::set<std::string> vms;
  std::set<std::string> published_inactive;
  // Of the predecessor; of accounts that are not in `accounts`.
  WithheldOperations inherited;
  WithheldOperations published_withheld;
  // The most of each account that was proposed and may have been published.
  WithheldOperations proposed_withheld;
  bool is_withheld_needed = false;
  std::map<std::string, kernel::Instant> reported_at;
  kernel::Instant lease_acquired_at;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_RATE_COORDINATOR_H_
