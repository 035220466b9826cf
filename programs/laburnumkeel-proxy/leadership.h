#ifndef LABURNUMKEEL_PROGRAMS_PROXY_LEADERSHIP_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_LEADERSHIP_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/limits/rate_coordinator.h"
#include "laburnumkeel/membership/delegate_ring.h"
#include "laburnumkeel/promotion/leader_lease.h"
#include "programs/laburnumkeel-proxy/duty_caller.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/store_link.h"

namespace laburnumkeel::proxy {

// Acquires, renews and releases the leader lease of this VM, and makes the
// calls of the leader's duties under it.
class Leadership {
 public:
  // `on_released` is called when the store has confirmed that the lease is
  // free.
  Leadership(ProxyContext& context, StoreLink& store,
             std::function<void()> on_released);

  // Called with the row of the leader lease as read from the store. `record` is
  // null when there is none, and `version` then that of the store;
  // `store_now_ms` is the store's clock.
  void OnLeaderRow(const promotion::LeaderRecord* record, std::uint64_t version,
                   std::int64_t store_now_ms);

  void Tick(kernel::Instant now);

  // Adds a function that is called whenever this VM acquired or lost the leader
  // lease, or stops acting as the leader.
  void AddObserver(std::function<void()> observer) {
    this->change_observers.push_back(std::move(observer));
  }

  // This VM is about to stop: it does not acquire the leader lease any more.
  void AcquireNoMore() { this->may_acquire = false; }

  // Stops acting as the leader at once, and publishes that the leader lease is
  // free as soon as no call of this VM's duties can be executed any more. If
  // that takes too long, the lease expires.
  void Release();

  bool IsLeader() const;

  // True while this VM is the leader and has not begun to release the lease.
  bool MayAct(kernel::Instant now) const {
    return !this->is_lease_released && this->lease.IsHeld(now);
  }

  const promotion::LeaderLease& Lease() const { return this->lease; }

  // Fencing token of the newest known holder; 0 when none is known.
  std::uint64_t Token() const {
    return this->lease.Record() ? this->lease.Record()->token : 0;
  }

  DutyCaller& Duties() { return this->duties; }

  // State that the leader publishes for its successor with each renewal.
  struct Handover {
    // VMs that hold no share of any limit.
    std::set<std::string> inactive_vms;
    limits::WithheldOperations withheld_operations;
    membership::DelegateRing delegates;
  };
  void SetHandoverSource(std::function<Handover()> source) {
    this->handover_source = std::move(source);
  }

  // Renews the leader lease early, because the next handover allows more
  // operations to be granted.
  void RenewSoon();

  // Operations that the previous leader withheld for this VM to grant.
  const limits::WithheldOperations& InheritedOperations() const {
    return this->inherited_operations;
  }

  // When the store confirmed that this VM acquired the leader lease.
  kernel::Instant LeaderSince() const { return this->leader_since; }

 private:
  void Renew(kernel::Instant now);
  void PublishReleaseWhenSettled();
  void PublishRelease();
  // True when the leader lease is free and this VM has waited long enough for a
  // VM with more processor capacity to acquire it first.
  bool IsAcquireDue(kernel::Instant now);
  // The record with which this VM acquires, renews or releases the leader
  // lease.
  promotion::LeaderRecord MakeRecord(bool is_leader, kernel::Instant now) const;
  // Writes the row of the leader lease, provided that its version is still the
  // one last observed.
  void WriteLeader(const promotion::LeaderRecord& record,
                   std::function<void(const StoreLink::WriteOutcome&)> handler);
  void Notify();

  ProxyContext& context;
  StoreLink& store;
  const std::function<void()> on_released;
  std::vector<std::function<void()>> change_observers;
  promotion::LeaderLease lease;
  DutyCaller duties;
  std::function<Handover()> handover_source;
  limits::WithheldOperations inherited_operations;
  kernel::Instant renewal_sent_at;
  kernel::Instant next_renewal_at;
  bool is_renewal_pending = false;
  bool was_leader = false;
  kernel::Instant leader_since;
  bool may_acquire = true;
  bool is_lease_released = false;
  // When the leader lease became available to this VM; zero while it is not.
  kernel::Instant acquirable_since;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_LEADERSHIP_H_
