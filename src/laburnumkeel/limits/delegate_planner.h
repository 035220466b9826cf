#ifndef LABURNUMKEEL_LIMITS_DELEGATE_PLANNER_H_
#define LABURNUMKEEL_LIMITS_DELEGATE_PLANNER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/delegate_pool.h"
#include "laburnumkeel/membership/delegate_ring.h"

namespace laburnumkeel::limits {

// Plans the ring of the VMs that hold the accounts' limits in a large fleet.
// Runs on the leader, which publishes the ring.
//
// Load patterns: VMs are lost, replaced, added, cut off from the leader, or all
// restarted at once, while the leader changes hands. A VM that restarts keeps
// its places, since nobody else has taken them.
class DelegatePlanner {
 public:
  // With fewer VMs, equal parts of a limit and shares that follow demand hold
  // whole operations on each VM, so no delegates are needed.
  static constexpr std::size_t kSmallestFleet = 24;
  // With fewer VMs than this, no ring was published. The number of registered
  // VMs does not fall by half between two terms.
  static constexpr std::size_t kCertainlySmall = 12;
  // Bounds the published row to a tenth of what the store accepts.
  static constexpr std::size_t kMaximumMembers = 64;
  // Time for which VMs may follow a ring after another one was published. 5%
  // allows for clock drift and 1 s for the execution of what was admitted.
  static constexpr std::chrono::milliseconds kTakeOverDelay =
      DelegatePool::kConfirmationLifetime +
      DelegatePool::kConfirmationLifetime / 20 + std::chrono::seconds(1);
  // Longer than a VM needs to restart.
  static constexpr std::chrono::seconds kSilence{8};
  // The first ring is published when no VM has registered for this long.
  static constexpr std::chrono::seconds kStableTime{2};

  struct Candidate {
    membership::DelegateVm vm;
    // Cores that it may use.
    double processor_share = 0;
  };
  using Candidates = std::map<std::string, Candidate>;

  // Starts a term as the leader. `inherited` is the ring in the record of the
  // predecessor.
  void Reset(const membership::DelegateRing& inherited, kernel::Instant now);

  // A VM reported that it follows the ring of this revision.
  void OnReported(const std::string& vm, std::uint64_t revision,
                  kernel::Instant now);

  // `ring` has been published.
  void OnPublished(const membership::DelegateRing& ring, kernel::Instant now);

  const membership::DelegateRing& Published() const { return this->published; }

  // True when delegates hold the limits, may still do so, or are about to.
  bool IsDelegating(std::size_t registered_count) const;

  // The ring to publish next; the published one if nothing changes. `token` is
  // the leader's. While `are_limits_unassigned` is false, VMs may hold shares
  // of the limits by other means, and the first ring has to wait.
  membership::DelegateRing Propose(const Candidates& registered,
                                   std::uint64_t token,
                                   bool are_limits_unassigned,
                                   kernel::Instant now);

 private:
  // Rings are numbered by the leader's token, which no other leader has.
  static constexpr std::uint64_t kRevisionsPerToken = 4096;

  struct Change {
    // The first published revision with this change, and when that was.
    std::uint64_t revision = 0;
    kernel::Instant since;
  };
  struct Reporter {
    std::uint64_t revision = 0;
    kernel::Instant reported_at;
  };

  bool HasReported(const std::string& vm, kernel::Instant now) const;
  bool HasFollowed(const std::string& vm, const Change& change) const;
  bool IsTakeOverSafe(const std::string& vm, kernel::Instant now) const;
  // Whether every VM that may act follows the ring in which `vm` joined.
  bool IsJoinKnown(const std::string& vm) const;
  void PlanFirst(const Candidates& registered, bool are_limits_unassigned,
                 kernel::Instant now, membership::DelegateRing& next);
  void PlanChange(const Candidates& registered, kernel::Instant now,
                  membership::DelegateRing& next) const;
  void Retire(kernel::Instant now, membership::DelegateRing& next) const;
  void Join(const Candidates& registered, kernel::Instant now,
            membership::DelegateRing& next) const;
  std::map<std::string, membership::DelegateVm> Choose(
      const Candidates& registered, const membership::DelegateRing& ring,
      std::size_t count, kernel::Instant now) const;

  membership::DelegateRing published;
  // For VMs that are joining or retired.
  std::map<std::string, Change> changes;
  std::map<std::string, Reporter> reporters;
  kernel::Instant term_began;
  std::size_t registered_count = 0;
  kernel::Instant registered_since;
  std::uint64_t proposals = 0;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_DELEGATE_PLANNER_H_
