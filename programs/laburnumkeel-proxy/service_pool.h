#ifndef LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_POOL_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_POOL_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "laburnumkeel/routing/position_samples.h"
#include "programs/laburnumkeel-proxy/endpoint_connection.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/statement_job.h"

namespace laburnumkeel::proxy {

// Places the statements of one service on its endpoints and keeps the
// connections to them. Decisions are in laburnumkeel::routing.
class ServicePool {
 public:
  ServicePool(ProxyContext& context, std::string service);
  ~ServicePool();
  ServicePool(const ServicePool&) = delete;
  ServicePool& operator=(const ServicePool&) = delete;

  // Runs a statement outside a transaction, or opens one with it.
  void Submit(const JobPointer& job);

  // Runs a statement on the connection of its transaction.
  void SubmitPinned(const JobPointer& job,
                    const std::shared_ptr<EndpointConnection>& connection);

  // Ends the transaction on a connection that its client has left or failed.
  void RollBack(const std::shared_ptr<EndpointConnection>& connection);

  // Runs a statement of the proxy itself on an endpoint. `handler` gets no
  // reply when none came in time.
  void RunInternal(
      const std::string& endpoint_id, const std::string& text,
      std::chrono::milliseconds timeout,
      std::function<void(const std::optional<statements::EndpointReply>&)>
          handler);

  // Ends what has waited too long, places again what has to, and keeps the
  // samples of the primary's position fresh.
  void Tick(kernel::Instant now);

  // The directory, the evacuated data centres or the primary changed.
  void OnDirectoryChanged();

  // A position heard by another VM.
  void AddSample(const model::LogPosition& position, kernel::Instant covers) {
    this->samples.Add(position, covers);
  }
  std::optional<routing::PositionSample> NewestSample() const {
    return this->samples.Newest();
  }

  // How far a replica is behind, as of an instant.
  void SetLag(const std::string& endpoint_id, std::chrono::milliseconds lag,
              kernel::Instant as_of);
  // Replicas that are noticeably behind.
  std::map<std::string, std::chrono::milliseconds> Lags(
      kernel::Instant now) const;

  // Drops a statement whose client is gone.
  void Cancel(const JobPointer& job);

  // When the endpoint last answered anything, a refusal included.
  kernel::Instant LastHeard(const std::string& endpoint_id) const;

  bool HasWork() const { return !this->jobs.empty(); }

 private:
  struct Endpoint {
    model::DatabaseEndpoint info;
    std::vector<std::shared_ptr<EndpointConnection>> connections;
    std::map<std::shared_ptr<EndpointConnection>, kernel::Instant> opening;
    std::deque<JobPointer> waiting;
    // Without answers, the smoothed delay returns to this one.
    double usual_answer_ms = 0;
    double answer_ms = 0;
    std::chrono::milliseconds lag{0};
    kernel::Instant lag_as_of;
    int outstanding = 0;
    int failures = 0;
    kernel::Instant last_heard;
    kernel::Instant suspended_until;
    kernel::Instant connections_full_until;
  };

  struct Freshness {
    bool is_met = false;
    std::optional<model::LogPosition> read_after;
    // Time since the newest commit that the read has to see; meaningful with
    // `read_after`.
    kernel::Duration age{0};
  };

  void Place(const JobPointer& job);
  double ExpectedAnswerMs(const Endpoint& endpoint, const Freshness& freshness,
                          kernel::Instant now) const;
  // True when nothing can be expected to take the statement in its time.
  bool IsHopeless(const StatementJob& job, kernel::Instant now) const;
  std::optional<std::string> Choose(const StatementJob& job,
                                    kernel::Instant now) const;
  bool IsAllowed(const StatementJob& job, const Endpoint& endpoint,
                 kernel::Instant now) const;
  // True when operators have taken the data centre out of use for so long that
  // not even its primaries may get statements.
  bool IsClosed(const std::string& data_centre, kernel::Instant now) const;
  bool IsPrimary(const std::string& endpoint_id) const;
  bool IsInOwnRegion(const std::string& data_centre) const;
  // Connections that may be kept without a statement.
  double KeptConnections() const;
  Freshness FreshnessFor(const StatementJob& job,
                         const std::string& endpoint_id,
                         kernel::Instant now) const;

  void Pump(const std::string& endpoint_id);
  bool ServeWaiting(Endpoint& endpoint, const JobPointer& job);
  // Gives a free connection to the waiting statement that it suits best.
  bool ReuseConnection(Endpoint& endpoint,
                       const std::shared_ptr<EndpointConnection>& connection);
  void OpenConnection(Endpoint& endpoint, const std::string& account);
  void OnOpened(const std::string& endpoint_id,
                const std::shared_ptr<EndpointConnection>& connection,
                EndpointConnection::OpenResult result);
  // This VM's part of the connections that an endpoint takes.
  double ConnectionShare() const;

  void Dispatch(const JobPointer& job,
                const std::shared_ptr<EndpointConnection>& connection);
  void SendBegin(const JobPointer& job);
  void SendStatement(const JobPointer& job,
                     const std::optional<model::LogPosition>& read_after);
  void OnBegun(const JobPointer& job,
               const std::optional<statements::EndpointReply>& reply);
  void OnReply(const JobPointer& job,
               const std::optional<statements::EndpointReply>& reply);
  void OnLost(const JobPointer& job);
  void OnRefused(const JobPointer& job, const statements::EndpointReply& reply);
  void RecordAnswer(const StatementJob& job,
                    const statements::EndpointReply& reply);

  // True when a refused statement is best sent again on its connection.
  bool MayRepeat(const StatementJob& job,
                 const statements::EndpointReply& reply) const;
  // False when the statement has no time left for it.
  bool RepeatLater(const JobPointer& job, kernel::Instant now);
  void Repeat(const JobPointer& job, kernel::Instant now);
  // Leaves the endpoint and tries again at `retry_at`.
  void Retry(const JobPointer& job, kernel::Instant retry_at);
  void LeaveEndpoint(const JobPointer& job, bool keep_connection);
  void Finish(const JobPointer& job, JobResult result);
  void Refuse(const JobPointer& job, statements::ErrorCode error,
              const std::string& reason);
  void ReturnConnection(const std::shared_ptr<EndpointConnection>& connection);
  void Discard(const std::shared_ptr<EndpointConnection>& connection);
  void Suspend(Endpoint& endpoint, kernel::Instant now);
  void CheckTimeout(const JobPointer& job, kernel::Instant now);
  void RefreshSamples(kernel::Instant now);
  Endpoint* Find(const std::string& endpoint_id);

  ProxyContext& context;
  const std::string service;
  std::map<std::string, Endpoint> endpoints;
  routing::PositionSamples samples;
  std::vector<JobPointer> jobs;
  kernel::Instant last_used;
  // Version of the primary's record, and when this VM adopted it.
  std::uint64_t primary_version = 0;
  kernel::Instant primary_adopted;
  bool is_sampling = false;
  std::mt19937 random{std::random_device{}()};
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_POOL_H_
