#ifndef LABURNUMKEEL_PROGRAMS_PROXY_FAILOVER_MANAGER_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_FAILOVER_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "laburnumkeel/limits/rate_coordinator.h"
#include "laburnumkeel/promotion/change_plan.h"
#include "laburnumkeel/promotion/leader_lease.h"
#include "laburnumkeel/transport/http_channel.h"
#include "platform/wire_codec.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/service_pool.h"
#include "programs/laburnumkeel-proxy/service_watch.h"
#include "programs/laburnumkeel-proxy/store_link.h"

namespace laburnumkeel::proxy {

// Watches the primaries while this VM holds the leader lease, and replaces
// those that fail or leave. Decisions are in laburnumkeel::promotion.
class FailoverManager {
 public:
  FailoverManager(ProxyContext& context, StoreLink& store,
                  std::function<ServicePool&(const std::string&)> find_pool,
                  std::function<void()> on_published);

  // Null when there is no record; `store_now_ms` is the store's clock.
  void OnLeaderRow(const promotion::LeaderRecord* record, std::uint64_t version,
                   std::int64_t store_now_ms);

  void Tick(kernel::Instant now);

  // Releases the leader lease. `done` runs when the store has answered.
  void Release(std::function<void()> done);

  bool IsHeld() const;

  const promotion::LeaderLease& Lease() const { return this->lease; }

  // What the holder publishes for its successor with each renewal.
  struct Handover {
    // VMs that hold no share.
    std::set<std::string> inactive_vms;
    limits::WithheldOperations withheld_operations;
  };
  void SetHandoverSource(std::function<Handover()> source) {
    this->handover_source = std::move(source);
  }

  // Renews the leader lease early, since the next handover lets more operations
  // pass.
  void RenewSoon();

  // What the predecessor left to grant when this VM acquired the leader lease.
  const limits::WithheldOperations& InheritedOperations() const {
    return this->inherited_operations;
  }

  // When the store confirmed that this VM acquired the leader lease.
  kernel::Instant HeldSince() const { return this->held_since; }

 private:
  void Renew(kernel::Instant now);
  // True when the leader lease is free and no better suited VM has acquired it.
  bool IsAcquireDue(kernel::Instant now);
  // The record with which this VM acquires, renews or releases the leader
  // lease.
  promotion::LeaderRecord MakeRecord(bool is_held, kernel::Instant now) const;
  // Writes the leader lease's row if it still is the one last seen.
  void WriteLeader(const promotion::LeaderRecord& record,
                   std::function<void(const StoreLink::WriteOutcome&)> handler);
  // The watch of a service whose primary is being changed; null otherwise, as
  // when the leader lease was lost while a call was under way.
  ServiceWatch* FindChanging(const std::string& service);
  void WatchService(const std::string& service, kernel::Instant now);
  void PublishFirst(const std::string& service, ServiceWatch& watch);
  void Ask(const std::string& service, ServiceWatch& watch,
           kernel::Instant now);
  void ConsiderChange(const std::string& service, ServiceWatch& watch,
                      kernel::Instant now);
  bool IsEligible(const std::string& endpoint_id) const;
  void StartChange(const std::string& service, ServiceWatch& watch,
                   bool is_planned, const std::string& reason,
                   kernel::Instant now);
  void Announce(const std::string& service, ServiceWatch& watch);
  void AdvanceChange(const std::string& service, ServiceWatch& watch,
                     kernel::Instant now);
  // True while the change must not touch any endpoint.
  bool HoldTentative(const std::string& service, ServiceWatch& watch,
                     kernel::Instant now);
  // Publishes the former primary again, and ends the change.
  void CancelChange(const std::string& service, ServiceWatch& watch,
                    const std::string& reason);
  void AskReplicas(const std::string& service, kernel::Instant now);
  void AskMembers(const std::string& service, ServiceChange& change,
                  kernel::Instant now);
  void Command(const std::string& service, const std::string& endpoint_id,
               const std::string& text);
  void OnMemberAnswer(const std::string& service,
                      const std::string& endpoint_id,
                      const std::optional<statements::EndpointReply>& reply);
  void TakeStep(const std::string& service, ServiceWatch& watch,
                const promotion::ChangeStep& step, kernel::Instant now);
  void Promote(const std::string& service, ServiceWatch& watch,
               const std::string& endpoint_id, kernel::Instant now);
  void Publish(const std::string& service, ServiceWatch& watch,
               const std::string& endpoint_id, model::Term term);
  void WritePrimary(const routing::PrimaryRecord& record,
                    std::function<void(bool)> handler);

  ProxyContext& context;
  StoreLink& store;
  std::function<ServicePool&(const std::string&)> find_pool;
  std::function<void()> on_published;
  promotion::LeaderLease lease;
  std::map<std::string, ServiceWatch> watches;
  std::map<std::string, std::unique_ptr<transport::HttpChannel>> channels;
  std::function<Handover()> handover_source;
  limits::WithheldOperations inherited_operations;
  kernel::Instant renewed;
  kernel::Instant renew_at;
  bool is_writing = false;
  bool was_held = false;
  kernel::Instant held_since;
  bool is_released = false;
  // When this VM could first have acquired the leader lease; zero while it
  // cannot.
  kernel::Instant acquirable_since;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_FAILOVER_MANAGER_H_
