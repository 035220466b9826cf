#ifndef LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_POOL_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_POOL_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "laburnumkeel/admission/retry_budget.h"
#include "laburnumkeel/routing/busy_backoff.h"
#include "laburnumkeel/routing/committed_position.h"
#include "laburnumkeel/routing/connection_allowance.h"
#include "laburnumkeel/routing/endpoint_load.h"
#include "laburnumkeel/routing/position_samples.h"
#include "programs/laburnumkeel-proxy/endpoint_connection.h"
#include "programs/laburnumkeel-proxy/endpoint_selector.h"
#include "programs/laburnumkeel-proxy/pool_endpoint.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/statement_job.h"

namespace laburnumkeel::proxy {

// Assigns the statements of one service to its endpoints, opens connections to
// them, and repeats what has not run. EndpointSelector chooses.
class ServicePool {
 public:
  ServicePool(ProxyContext& context, std::string service);
  ~ServicePool();
  ServicePool(const ServicePool&) = delete;
  ServicePool& operator=(const ServicePool&) = delete;

  // Runs a statement outside a transaction, or the first one of a transaction.
  void Submit(const JobPointer& job);

  // Runs a statement on the connection that its transaction is pinned to.
  void SubmitPinned(const JobPointer& job,
                    const std::shared_ptr<EndpointConnection>& connection);

  // Rolls back the transaction on a connection that its session gives up, and
  // returns the connection to the pool.
  void RollBack(const std::shared_ptr<EndpointConnection>& connection);

  // Runs a statement of the proxy itself on an endpoint. `handler` receives
  // std::nullopt when the endpoint does not reply within `timeout`, or when the
  // connection is lost.
  void RunInternal(
      const std::string& endpoint_id, const std::string& text,
      std::chrono::milliseconds timeout,
      std::function<void(const std::optional<statements::EndpointReply>&)>
          handler);

  // As RunInternal, for a command that acts for the leader: it is not sent when
  // `may_send` returns false right before that, and withdrawn after `timeout`.
  void RunOrder(
      const std::string& endpoint_id, const std::string& text,
      std::chrono::milliseconds timeout, std::function<bool()> may_send,
      std::function<void(const std::optional<statements::EndpointReply>&)>
          handler);

  // Times out and retries statements, opens and closes connections, and
  // refreshes the samples of the primary's log position.
  void Tick(kernel::Instant now);

  // Called when the endpoint directory, the evacuated data centres or the
  // primary changed.
  void OnDirectoryChanged();

  // Adds a log position observed by another VM.
  void AddSample(const model::LogPosition& position, kernel::Instant covers) {
    this->samples.Add(position, covers);
  }
  std::optional<routing::PositionSample> NewestSample() const {
    return this->samples.Newest();
  }

  // Processes a log position up to which commits may have been acknowledged.
  void ObserveCommitted(const model::LogPosition& position);
  // The highest such position that the log of the published primary reaches;
  // zero when none is known.
  model::LogPosition Committed() const;

  // Sets the replication lag of an endpoint as measured at `as_of`.
  void SetLag(const std::string& endpoint_id, std::chrono::milliseconds lag,
              kernel::Instant as_of);
  // Lag of the replicas that are behind by at least kNoticeableLag.
  std::map<std::string, std::chrono::milliseconds> Lags(
      kernel::Instant now) const;

  // Sets how much longer statements take at an endpoint than at an idle one, by
  // what all VMs saw up to `as_of`.
  void SetDelay(const std::string& endpoint_id,
                const routing::EndpointDelay& delay, kernel::Instant as_of);
  // What this VM saw of the endpoints since the last call.
  std::map<std::string, routing::EndpointLoad> TakeLoads();

  // Cancels a statement whose client has disconnected.
  void Cancel(const JobPointer& job);

  // Answers a statement at once, with what is known of its outcome. A reply
  // that its endpoint may still send is not received.
  void GiveUp(const JobPointer& job, const std::string& reason);

  // Time of the endpoint's last reply, including refusals.
  kernel::Instant LastContact(const std::string& endpoint_id) const;

  // When the newest statement was sent that the endpoint has answered. Unlike a
  // contact, which may be a connection that something on the path closed, or a
  // reply that waited while this VM was suspended, it shows that the endpoint
  // was in reach at that time.
  kernel::Instant LastAnswered(const std::string& endpoint_id) const;

  // Connections to an endpoint that this VM holds and that its waiting
  // statements need.
  routing::ConnectionDemand Demand(const std::string& endpoint_id) const;
  // The lender of an endpoint's connections has answered. A statement that
  // needs another one can expect it at `expected_at`.
  void OnConnectionsAnswered(const std::string& endpoint_id,
                             kernel::Instant expected_at);

  bool HasWork() const { return !this->jobs.empty(); }

 private:
  void Place(const JobPointer& job);
  // Refuses a statement that was not run and cannot be answered in time.
  void RefuseEarly(const JobPointer& job, kernel::Duration expected,
                   kernel::Instant now);
  // For a statement that waits for a connection: moves a read to an endpoint
  // that is expected to answer in half the time, and refuses a statement that
  // cannot be answered in time any more.
  void Reconsider(const JobPointer& job, kernel::Instant now);
  // Takes part of the retry budget and returns true, or ends the statement.
  bool MayTryAgain(const JobPointer& job, kernel::Instant now);
  void RecordFailure(const StatementJob& job, kernel::Instant now);
  // The statement's place among the priorities of the service.
  routing::BusyUrgency UrgencyOf(const StatementJob& job) const;
  // True when the statement should not wait for an endpoint any longer: a
  // change of primary will not end before its deadline, or, without such a
  // change, no endpoint was available for part of its latency objective.
  bool IsUnservable(const StatementJob& job, kernel::Instant now) const;
  // Chooses another endpoint and returns true when the one chosen earlier may
  // no longer receive the statement.
  bool MoveIfUnusable(const JobPointer& job);
  // Number of connections to one endpoint that may be kept open while idle.
  double IdleConnectionLimit() const;
  // Dispatches the endpoint's waiting statements in order of priority.
  void DispatchWaiting(const std::string& endpoint_id);
  // Dispatches the statement on a free connection and returns true; otherwise
  // opens a connection if allowed and returns false.
  bool TryDispatch(PoolEndpoint& endpoint, const JobPointer& job);
  // Dispatches the waiting statement that suits the free connection best.
  // Returns false when there is none.
  bool ReuseConnection(PoolEndpoint& endpoint,
                       const std::shared_ptr<EndpointConnection>& connection);
  void OpenConnection(PoolEndpoint& endpoint, const std::string& account);
  void OnOpened(const std::string& endpoint_id,
                const std::shared_ptr<EndpointConnection>& connection,
                EndpointConnection::OpenResult result);
  // True when connections are opened only with the consent of a lender.
  bool AreConnectionsShared() const;
  // Makes room for a further connection, also by closing a free one. Returns
  // false when none may be opened now.
  bool MakeRoom(PoolEndpoint& endpoint);
  // Closes the free connection after use if it should not be kept idle.
  void CloseIfNotKept(PoolEndpoint& endpoint,
                      const std::shared_ptr<EndpointConnection>& connection);
  // Time after which an idle connection is closed.
  std::chrono::milliseconds IdleTimeout(const std::string& endpoint_id) const;
  // Tells the lender of an endpoint's connections what this VM needs.
  void ReportDemand(const std::string& endpoint_id);
  // This VM's equal share of the connections that an endpoint accepts.
  double ConnectionShare() const;

  void Dispatch(const JobPointer& job,
                const std::shared_ptr<EndpointConnection>& connection);
  void SendOrder(const JobPointer& job);
  void SendBegin(const JobPointer& job);
  void SendStatement(const JobPointer& job,
                     const std::optional<model::LogPosition>& read_after);
  void OnBegun(const JobPointer& job,
               const std::optional<statements::EndpointReply>& reply);
  void OnReply(const JobPointer& job,
               const std::optional<statements::EndpointReply>& reply);
  // Counts the request for its account's usage, if the statement begins one,
  // was sent and may have run.
  void CountRun(const StatementJob& job) const;
  void OnReplyLost(const JobPointer& job);
  // Answers a commit whose endpoint is not the published primary any more, or
  // is about to be replaced as lost: the new primary may lack it.
  void OnUnconfirmedCommit(const JobPointer& job);
  // True when the statement commits and may have run.
  static bool MayHaveCommitted(const StatementJob& job);
  void OnRefused(const JobPointer& job, const statements::EndpointReply& reply);
  // `now` when this VM has a read lease on the endpoint; empty otherwise.
  std::optional<kernel::Instant> ReadLeaseHeldAt(const std::string& endpoint_id,
                                                 kernel::Instant now) const;
  void RecordReply(const StatementJob& job,
                   const statements::EndpointReply& reply);
  // Notes the primary's log position, and what a successful commit says of it.
  void RecordPosition(const StatementJob& job,
                      const statements::EndpointReply& reply);

  // True when a refused statement should be sent again on its connection.
  bool CanResend(const StatementJob& job,
                 const statements::EndpointReply& reply) const;
  // Returns false when the statement's deadline leaves no time for it.
  bool ScheduleResend(const JobPointer& job, kernel::Instant now);
  void Resend(const JobPointer& job, kernel::Instant now);
  // Sends a statement of an open transaction, unless its data centre had to be
  // left meanwhile.
  void ContinueTransaction(const JobPointer& job);
  // Closes the transaction's connection, so that the endpoint rolls it back.
  void AbortPinned(const JobPointer& job, const std::string& reason);
  // Releases the endpoint and chooses one again at `retry_at`.
  void Retry(const JobPointer& job, kernel::Instant retry_at);
  void LeaveEndpoint(const JobPointer& job, bool keep_connection);
  void Finish(const JobPointer& job, JobResult result);
  void Fail(const JobPointer& job, statements::ErrorCode error,
            const std::string& reason);
  void ReturnConnection(const std::shared_ptr<EndpointConnection>& connection);
  void Discard(const std::shared_ptr<EndpointConnection>& connection);
  void Suspend(PoolEndpoint& endpoint, kernel::Instant now);
  // Chooses another endpoint for the statements that wait for a connection.
  void MoveWaiting(PoolEndpoint& endpoint, kernel::Instant now);
  // Forgets endpoints that have left, once no transaction uses them.
  void RemoveUnusedEndpoints();
  void CheckTimeout(const JobPointer& job, kernel::Instant now);
  void RefreshSamples(kernel::Instant now);
  // Adds or updates an endpoint if it belongs to this service.
  void AddEndpoint(const model::DatabaseEndpoint& info);
  PoolEndpoint* Find(const std::string& endpoint_id);

  ProxyContext& context;
  const std::string service;
  std::map<std::string, PoolEndpoint> endpoints;
  routing::PositionSamples samples;
  const EndpointSelector selector;
  routing::CommittedPosition committed;
  admission::RetryBudget retry_budget;
  // The newest position that the primary has reported, and its term as
  // published.
  std::optional<model::LogPosition> primary_position;
  model::Term primary_term = 0;
  std::vector<JobPointer> jobs;
  kernel::Instant last_used;
  // Version of the primary's record, and when this VM adopted it.
  std::uint64_t primary_version = 0;
  kernel::Instant primary_adopted;
  bool is_sampling = false;
  bool has_removed_endpoints = false;
  std::mt19937 random{std::random_device{}()};
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_POOL_H_
