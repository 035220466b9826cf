#ifndef LABURNUMKEEL_LIMITS_RATE_COORDINATOR_H_
#define LABURNUMKEEL_LIMITS_RATE_COORDINATOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_amount.h"
#include "laburnumkeel/limits/share_holdings.h"
#include "laburnumkeel/limits/token_bucket.h"

namespace laburnumkeel::limits {

// VMs exchange amounts in whole units of a thousandth of an operation, so that
// the amount that a VM confirms equals the granted amount exactly.
inline constexpr double kUnitsPerOperation = 1000;

// What a VM reports about one account.
struct AccountReport {
  // Operations a second that clients request.
  double demand = 0;
  // The share that the VM uses.
  ShareAmount held;
  // Operations that are waiting for a grant.
  int waiting_operations = 0;

  bool operator==(const AccountReport&) const = default;
};

// What a VM may pass: a share until it expires, and single operations.
struct AccountGrant {
  ShareAmount share;
  int operations = 0;
  // More operations can be granted once the coordinator has published a smaller
  // withheld amount. The VM should wait for them rather than refuse requests.
  bool is_more_pending = false;

  bool operator==(const AccountGrant&) const = default;
};

// Whole operations of each account that a coordinator withholds, so that its
// successor can grant them.
using WithheldOperations = std::map<std::string, std::int64_t>;

// Divides the limit of each account among the VMs. Runs on the leader. Most of
// a limit is assigned as shares, which follow demand and stay valid while the
// coordinator is unavailable. The rest is a central pool of unassigned tokens,
// which are granted as single operations.
//
// Load patterns: all clients of an account reach a few VMs; clients move to
// other VMs; an account is far above its rate; the coordinator's VM fails; all
// clients arrive at once, at the start or after all VMs were restarted.
//
// What all VMs hold never adds up to more than a limit. A lowered share counts
// in full until its VM reports that it uses the lower one, or until the share
// has expired. A new coordinator does not assign what VMs that have not
// reported may hold, until all shares of its predecessor have expired.
class RateCoordinator {
 public:
  // A VM stops using a share this long after it sent the report that requested
  // it. Covers the failure of the coordinator's VM and the 6 s after which
  // another VM acquires the leader lease.
  static constexpr std::chrono::milliseconds kShareLifetime{8000};
  // The coordinator counts a share as held for longer than the VM uses it, to
  // allow for clock drift.
  static constexpr std::chrono::milliseconds kShareRemovalAge{8800};
  // Fractions of a limit: what is assigned as shares, and the reserve, of which
  // each VM may use an equal part without a grant. The rest is granted as
  // single operations.
  static constexpr double kShareFraction = 0.55;
  static constexpr double kReserveFraction = 0.2;
  // With more VMs than this, an equal part of the reserve is less than a client
  // needs, so the reserve shrinks in favour of single operations.
  static constexpr int kReserveVms = 8;
  // Largest fraction of all shares that one VM can hold, so that the shares of
  // a few VMs that a new coordinator cannot reach do not block all others.
  static constexpr double kMaximumVmFraction = 0.6;

  // The fraction of a limit that all reserves take together.
  static double ReservedFraction(int vm_count);

  // The part of a limit that one of `vm_count` VMs may use without a grant.
  static ShareAmount Reserve(const ShareAmount& limit, int vm_count);

  // Starts a new term as the coordinator, after this VM has acquired the leader
  // lease. It is not known what the predecessor assigned, except that the VMs
  // in `inactive` hold no shares and that the operations in `withheld` were not
  // granted.
  void Reset(const std::set<std::string>& inactive,
             const WithheldOperations& withheld, kernel::Instant now);

  // Adds an account that may have no clients yet, so that its unused operations
  // are withheld for a successor.
  void AddAccount(const std::string& name, const ShareAmount& limit) {
    this->FindOrAdd(name, limit);
  }

  // Returns the operations to publish for a successor. Neither these nor those
  // of earlier proposals are granted until SetPublishedWithheld tells which
  // proposal was published.
  WithheldOperations ProposeWithheld(kernel::Instant now);

  // `withheld` is what a successor would read.
  void SetPublishedWithheld(const WithheldOperations& withheld);

  // True when an operation was not granted only because it is withheld.
  // Publishing a smaller amount makes it available.
  bool IsWithheldNeeded() const { return this->is_withheld_needed; }

  // VMs whose last share has expired. The leader publishes them for its
  // successor, then calls SetPublishedInactive.
  std::set<std::string> InactiveVms(kernel::Instant now) const;

  // These VMs get no share until a later call leaves them out.
  void SetPublishedInactive(const std::set<std::string>& inactive);

  // The VMs that may hold shares.
  void SetVms(const std::set<std::string>& names);

  // Records that a VM has reported. Only a complete report shows what the VM
  // holds of all accounts; after a partial one it may still hold shares of its
  // predecessor's.
  void OnReported(const std::string& vm, bool is_complete, kernel::Instant now);

  // While delegates hold the limits, or are about to, no shares are assigned,
  // and the central pool has what is left beside the delegates.
  void SetDelegating(bool is_delegating) {
    this->is_delegating = is_delegating;
  }

  // True when VMs may hold shares.
  bool MayHoldShares(kernel::Instant now);

  // A VM has stopped as planned and holds no shares any more.
  void OnLeft(const std::string& vm);

  // Responds to a VM's report on one account. `limit` is what all VMs together
  // may pass.
  AccountGrant Assign(const std::string& vm, const std::string& account,
                      const ShareAmount& limit, const AccountReport& report,
                      kernel::Instant now);

 private:
  struct Account {
    ShareHoldings holdings;
    ShareAmount limit;
    // For single operations.
    TokenBucket central_pool;
  };

  // Largest fraction of all shares that one of `vm_count` VMs can hold.
  static double MaximumVmFraction(int vm_count);
  // The most that a VM that has not reported may hold of the predecessor's
  // shares.
  static ShareAmount UnknownShare(const ShareAmount& shared, int vm_count);
  // What is left for single operations when all shares are assigned.
  ShareAmount SmallestCentralPool(const ShareAmount& limit, int vm_count) const;

  // The part of a limit that may be assigned as shares.
  double ShareFraction() const {
    return this->is_delegating ? 0 : kShareFraction;
  }
  // The part that neither reserves nor delegates hold.
  double CoordinatedFraction(int vm_count) const;

  Account& FindOrAdd(const std::string& name, const ShareAmount& limit);
  // Operations of an account that may have been published for a successor.
  double Withheld(const std::string& name) const;

  // Number of VMs that may hold a share from the predecessor.
  int UnknownVms(kernel::Instant now) const;
  void CountUnknownVms();

  std::map<std::string, Account> accounts;
  std::set<std::string> vms;
  std::set<std::string> published_inactive;
  // Withheld by the predecessor, for accounts that are not in `accounts` yet.
  WithheldOperations inherited;
  WithheldOperations published_withheld;
  // Largest proposal for each account that may have been published.
  WithheldOperations proposed_withheld;
  bool is_withheld_needed = false;
  std::map<std::string, kernel::Instant> reported_at;
  // VMs that have neither reported nor are published as inactive.
  int unknown_vms = 0;
  kernel::Instant lease_acquired_at;
  bool is_delegating = false;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_RATE_COORDINATOR_H_
