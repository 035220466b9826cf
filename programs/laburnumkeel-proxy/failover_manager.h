#ifndef LABURNUMKEEL_PROGRAMS_PROXY_FAILOVER_MANAGER_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_FAILOVER_MANAGER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/promotion/absence_evidence.h"
#include "laburnumkeel/promotion/change_plan.h"
#include "laburnumkeel/promotion/primary_claims.h"
#include "platform/wire_codec.h"
#include "programs/laburnumkeel-proxy/leadership.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/service_pool.h"
#include "programs/laburnumkeel-proxy/service_watch.h"
#include "programs/laburnumkeel-proxy/store_link.h"

namespace laburnumkeel::proxy {

// Monitors the primaries while this VM holds the leader lease, and replaces
// those that fail or have to leave. The decision logic is in
// laburnumkeel::promotion.
class FailoverManager {
 public:
  FailoverManager(ProxyContext& context, StoreLink& store,
                  Leadership& leadership,
                  std::function<ServicePool&(const std::string&)> find_pool,
                  std::function<void()> on_published);

  void Tick(kernel::Instant now);

 private:
  // Returns the watch of a service whose primary is being changed. Null
  // otherwise, for example when the leader lease was lost during a call.
  ServiceWatch* FindChanging(const std::string& service);
  void WatchService(const std::string& service, kernel::Instant now);
  // Asks the endpoints of a service which of them is the primary, if one of
  // them registered as such beside the published one. Returns true while a
  // reply or the publication is awaited.
  bool CheckClaims(const std::string& service, ServiceWatch& watch,
                   kernel::Instant now);
  void AskClaimants(const std::string& service, ClaimRound& claims);
  // Asks the endpoints of the round that are pending.
  void AskPending(const std::string& service, const ClaimRound& claims);
  void OnClaimReply(const std::string& service, const std::string& endpoint_id,
                    const std::optional<statements::EndpointReply>& reply);
  // Publishes the primary that the replies show.
  void PublishClaimant(const std::string& service, ServiceWatch& watch);
  void QueryPrimary(const std::string& service, ServiceWatch& watch,
                    kernel::Instant now);
  void StartChangeIfNeeded(const std::string& service, ServiceWatch& watch,
                           kernel::Instant now);
  bool IsEligible(const std::string& endpoint_id) const;
  // True when another endpoint may become the primary.
  bool HasAlternative(const std::string& service,
                      const std::string& primary) const;
  void StartChange(const std::string& service, ServiceWatch& watch,
                   bool is_planned, const std::string& reason,
                   kernel::Instant now);
  void Announce(const std::string& service, ServiceWatch& watch);
  // Tells the VMs that the former primary is lost, so that they pass on no more
  // of its commits.
  void PublishLoss(const std::string& service, ServiceWatch& watch);
  void AdvanceChange(const std::string& service, ServiceWatch& watch,
                     kernel::Instant now);
  // Decides whether a cancellable change is confirmed or cancelled. Returns
  // true while the change must not pause or promote any endpoint.
  bool ReviewCancellableChange(const std::string& service, ServiceWatch& watch,
                               kernel::Instant now);
  // Publishes the former primary again and ends the change.
  void CancelChange(const std::string& service, ServiceWatch& watch,
                    const std::string& reason);
  // Queries the replicas for their replication lag, and endpoints that are not
  // registered any more for a sign that they still run.
  void QueryReplicas(const std::string& service, ServiceWatch& watch,
                     kernel::Instant now);
  void OnReplicaReply(const std::string& service,
                      const std::string& endpoint_id, kernel::Instant sent,
                      const std::optional<statements::EndpointReply>& reply);
  // Gives the order that brings an endpoint into the service after a change of
  // its primary, once that is safe: a primary of an earlier term steps down,
  // and a paused replica receives again.
  void Reconcile(const std::string& service, ServiceWatch& watch,
                 const std::string& endpoint_id,
                 const platform_adapter::EndpointState& state);
  // True when this VM's reach shows that two endpoints which it reaches reach
  // each other: one of them is in its own data centre, and cuts follow data
  // centres.
  bool DoReachEachOther(const std::string& first,
                        const std::string& second) const;
  // True when no endpoint but the published primary may send log entries to
  // this replica.
  bool MayResume(const std::string& service, const ServiceWatch& watch,
                 const std::string& replica) const;
  // Notes whether an endpoint replied to a query sent at `sent`.
  void ObserveSilence(const std::string& service, ServiceWatch& watch,
                      const std::string& endpoint_id, kernel::Instant sent,
                      bool has_replied);
  // The registered endpoints of a service, and those that were until recently.
  std::vector<std::string> KnownEndpoints(const std::string& service) const;
  // True when the endpoint is registered, and its address not also that of an
  // endpoint which started later.
  bool IsRegistered(const std::string& endpoint_id) const;
  // True when the endpoint is registered, or responds nevertheless.
  bool IsPresent(const ServiceWatch& watch,
                 const std::string& endpoint_id) const;
  // What shows that an unregistered endpoint takes no part in the service.
  promotion::AbsenceEvidence EvidenceOf(
      const std::string& service, const ServiceWatch& watch,
      const UnregisteredEndpoint& unregistered) const;
  // True when the endpoint takes part in a change: it is present, or it may
  // still acknowledge commits out of reach of this VM.
  bool IsMember(const std::string& service, const ServiceWatch& watch,
                const std::string& endpoint_id) const;
  // The known endpoints that take part in a change.
  std::vector<std::string> Members(const std::string& service,
                                   const ServiceWatch& watch) const;
  // Writes to the store which endpoints take part in the service, if that has
  // changed: a leader whose process starts later cannot know of those whose
  // registration is gone by then.
  void WriteMembers(const std::string& service, ServiceWatch& watch,
                    kernel::Instant now);
  void QueryMembers(const std::string& service, ServiceWatch& watch,
                    kernel::Instant now);
  void QueryMember(const std::string& service, const std::string& endpoint_id);
  // Sends a command that changes what an endpoint does.
  void GiveOrder(const std::string& service, const std::string& endpoint_id,
                 const std::string& text);
  // `sent` is when the query or order was sent.
  void OnMemberReply(const std::string& service, const std::string& endpoint_id,
                     kernel::Instant sent,
                     const std::optional<statements::EndpointReply>& reply);
  // Notes which commits a replica holds.
  void ObserveReplica(const std::string& service,
                      const std::string& endpoint_id,
                      const platform_adapter::EndpointState& state);
  // Adds to the view what it takes to know that no commit is missing.
  void UpdateProofs(const std::string& service, ServiceWatch& watch,
                    promotion::ChangeView& view, kernel::Instant now);
  // Members of a change that have not responded, separated by commas.
  std::string UnansweredMembers(const std::string& service,
                                const ServiceWatch& watch) const;
  // Logs from time to time that a change waits.
  void ReportHeldChange(const std::string& service, ServiceWatch& watch,
                        kernel::Instant now);
  void PerformStep(const std::string& service, ServiceWatch& watch,
                   const promotion::ChangeStep& step, kernel::Instant now);
  void Promote(const std::string& service, ServiceWatch& watch,
               const std::string& endpoint_id, kernel::Instant now);
  void Publish(const std::string& service, ServiceWatch& watch,
               const std::string& endpoint_id, model::Term term);
  // Publishes a record again that the restored store may lack.
  void PublishAfterRestore(const routing::PrimaryRecord& record,
                           ServiceWatch& watch);
  void WritePrimary(routing::PrimaryRecord record,
                    std::function<void(bool)> handler);

  ProxyContext& context;
  StoreLink& store;
  Leadership& leadership;
  std::function<ServicePool&(const std::string&)> find_pool;
  std::function<void()> on_published;
  std::map<std::string, ServiceWatch> watches;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_FAILOVER_MANAGER_H_
