#include "programs/laburnumkeel-proxy/service_pool.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <utility>

#include "laburnumkeel/admission/waiting_request.h"
#include "laburnumkeel/kernel/backoff.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "platform/wire_codec.h"
#include "programs/laburnumkeel-proxy/connection_budget.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using statements::EndpointReply;
using statements::ErrorCode;
using statements::StatementKind;
using statements::TransactionState;
using std::chrono::milliseconds;

namespace {

// Opening a connection takes two round trips between regions and a wait in the
// endpoint's queue; one that takes longer than this is treated as hanging.
constexpr milliseconds kConnectTimeout{1000};
// A read without a reply after this time is retried on another endpoint: half
// of its objective, so that the second try can still meet it, within these
// bounds. An endpoint's queue drains in less than the lower one.
constexpr milliseconds kShortestReadTimeout{250};
constexpr milliseconds kLongestReadTimeout{500};
constexpr double kReadTimeoutPerResponse = 4;
// Attempts of one statement; only those that were sent to an endpoint count.
constexpr int kMaximumAttempts = 6;
// Delay before an endpoint is chosen again for a refused statement: about the
// time that an endpoint takes for one statement.
constexpr milliseconds kRetryPause{25};
// The pause doubles with each attempt up to this, so that the attempts last for
// a good part of a change of primary.
constexpr milliseconds kLongestRetryPause{400};
// A statement that has waited for a connection for this long is looked at
// again: about the time of a statement at a busy endpoint.
constexpr milliseconds kReconsiderAfter{100};
// An endpoint that failed is not used for this long, doubled with each further
// failure.
constexpr milliseconds kSuspension{250};
constexpr int kMaximumSuspensionDoublings = 3;
// Weight of the newest reply in the smoothed response time.
constexpr double kResponseSmoothing = 0.2;
// Routes that allow stale reads allow more than this.
constexpr milliseconds kNoticeableLag{200};
// Usual time from the announcement of a change of primary to its end.
constexpr milliseconds kExpectedPrimaryChange{2300};
// What a refusal as busy costs beside its own time: about the first pause
// before the statement is sent again.
constexpr milliseconds kBusyLoss{50};
// A statement that no endpoint can run, while no change of primary is in
// progress, fails after its latency objective divided by this number.
constexpr int kUnplacedLatencyDivisor = 5;
// Response time assumed for an endpoint without replies.
constexpr double kOwnRegionResponseMs = 20;
constexpr double kOtherRegionResponseMs = 50;
// A position sample older than this is refreshed while the service is in use.
// The strictest staleness bound is well above one second.
constexpr milliseconds kMaximumSampleAge{1100};
constexpr std::chrono::seconds kServiceInUsePeriod{5};
// An idle connection is closed after this time, since the endpoint's
// connections are limited and other VMs and accounts need them.
constexpr std::chrono::milliseconds kIdleConnectionTimeout{1500};
// A VM under load may use more connections than its equal share, since not all
// VMs use theirs at once; connections above the share are closed after use.
constexpr double kConnectionOvercommit = 1.6;
// Connections that a VM may always open to an endpoint, also when the endpoint
// accepts fewer connections than there are VMs.
constexpr double kMinimumConnections = 3;
constexpr milliseconds kConnectionsFullPause{60};
// A connection with more bytes of session values and prepared statements is
// closed after use: clients choose them, and nobody else takes them back.
constexpr std::size_t kMaximumConnectionState = std::size_t{256} << 10;
// Connections that the statements of one VM may ask for at a time. More would
// only queue at the endpoint.
constexpr int kMaximumWantedPerSlot = 2;

void StartAttempt(StatementJob& job, double response_ms, Instant now) {
  job.attempt_started = now;
  job.attempt_deadline = job.deadline;
  if (job.kind != JobKind::kWrite && !job.is_pinned) {
    // The others have no further endpoint.
    const milliseconds shortest =
        job.kind == JobKind::kRead
            ? std::clamp(job.route.target_latency / 2, kShortestReadTimeout,
                         kLongestReadTimeout)
            : kLongestReadTimeout;
    const auto read_timeout =
        std::max(shortest, milliseconds(static_cast<std::int64_t>(
                               response_ms * kReadTimeoutPerResponse)));
    job.attempt_deadline = std::min(job.deadline, now + read_timeout);
  }
}

kernel::Duration ToExpected(double response_ms) {
  return std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double, std::milli>(response_ms));
}

// True when an endpoint that responded with the code has run the statement, or
// may have.
bool MayHaveRun(ErrorCode code) {
  return code == ErrorCode::kFailed || code == ErrorCode::kTimeout ||
         code == ErrorCode::kUnknown || code == ErrorCode::kUnrecognized;
}

}  // namespace

ServicePool::ServicePool(ProxyContext& context, std::string service)
    : context(context),
      service(std::move(service)),
      selector(this->context, this->service, this->endpoints, this->samples) {
  this->OnDirectoryChanged();
}

ServicePool::~ServicePool() {
  for (auto& [id, endpoint] : this->endpoints) {
    endpoint.connections.CloseAll();
  }
}

void ServicePool::Submit(const JobPointer& job) {
  this->last_used = job->arrived;
  this->jobs.push_back(job);
  this->Place(job);
}

void ServicePool::SubmitPinned(
    const JobPointer& job,
    const std::shared_ptr<EndpointConnection>& connection) {
  job->is_pinned = true;
  this->jobs.push_back(job);
  job->connection = connection;
  job->attempt_started = job->arrived;
  job->attempt_deadline = job->deadline;
  if (PoolEndpoint* owner = this->Find(connection->EndpointId())) {
    job->endpoint_id = connection->EndpointId();
    ++owner->outstanding;
  }
  if (job->endpoint_id.empty() || !connection->IsOpen() ||
      connection->IsBusy()) {
    this->AbortPinned(job, "the transaction's connection ended");
    return;
  }
  this->ContinueTransaction(job);
}

void ServicePool::ContinueTransaction(const JobPointer& job) {
  const PoolEndpoint* owner = this->Find(job->endpoint_id);
  if (owner != nullptr &&
      this->selector.IsPastEvacuation(owner->info.data_centre,
                                      this->context.clock.Now())) {
    this->AbortPinned(job, "the data centre is evacuated");
    return;
  }
  this->SendStatement(job, std::nullopt);
}

void ServicePool::AbortPinned(const JobPointer& job,
                              const std::string& reason) {
  this->Discard(std::exchange(job->connection, nullptr));
  this->Fail(job, ErrorCode::kAborted, reason);
}

void ServicePool::RunInternal(
    const std::string& endpoint_id, const std::string& text,
    milliseconds timeout,
    std::function<void(const std::optional<EndpointReply>&)> handler) {
  this->RunOrder(endpoint_id, text, timeout, nullptr, std::move(handler));
}

void ServicePool::RunOrder(
    const std::string& endpoint_id, const std::string& text,
    milliseconds timeout, std::function<bool()> may_send,
    std::function<void(const std::optional<EndpointReply>&)> handler) {
  auto job = std::make_shared<StatementJob>();
  job->is_internal = true;
  job->may_send = std::move(may_send);
  job->statement.text = text;
  job->endpoint_id = endpoint_id;
  job->arrived = this->context.clock.Now();
  job->deadline = job->arrived + timeout;
  job->attempt_deadline = job->deadline;
  job->attempt_started = job->arrived;
  job->done = [handler = std::move(handler)](const JobResult& result) {
    handler(result.reply);
  };
  this->jobs.push_back(job);
  PoolEndpoint* endpoint = this->Find(endpoint_id);
  if (endpoint == nullptr) {
    this->Fail(job, ErrorCode::kBusy, "the endpoint is not registered");
    return;
  }
  ++endpoint->outstanding;
  job->is_waiting_for_connection = true;
  endpoint->waiting.PushFront(job);
  this->DispatchWaiting(endpoint_id);
}

bool ServicePool::IsUnservable(const StatementJob& job, Instant now) const {
  const routing::PrimaryRecord* record =
      this->context.primaries.Find(this->service);
  if (record != nullptr && record->is_changing) {
    return job.deadline < this->primary_adopted + kExpectedPrimaryChange;
  }
  return now >=
         job.arrived + job.route.target_latency / kUnplacedLatencyDivisor;
}

void ServicePool::SetLag(const std::string& endpoint_id, milliseconds lag,
                         Instant as_of) {
  if (PoolEndpoint* endpoint = this->Find(endpoint_id)) {
    endpoint->lag = lag;
    endpoint->lag_as_of = as_of;
  }
}

std::map<std::string, milliseconds> ServicePool::Lags(Instant now) const {
  std::map<std::string, milliseconds> lags;
  for (const auto& [id, endpoint] : this->endpoints) {
    if (endpoint.lag >= kNoticeableLag &&
        now < endpoint.lag_as_of + PoolEndpoint::kLagLifetime) {
      lags[id] = endpoint.lag;
    }
  }
  return lags;
}

void ServicePool::Place(const JobPointer& job) {
  if (job->is_finished) {
    return;
  }
  const Instant now = this->context.clock.Now();
  if (now >= job->deadline || job->attempts >= kMaximumAttempts) {
    this->Fail(job, ErrorCode::kBusy, "no endpoint took the statement");
    return;
  }
  const std::optional<EndpointSelector::Choice> chosen =
      this->selector.Choose(*job, now);
  if (!chosen) {
    // Every endpoint has refused the statement once; replicas may have caught
    // up by now.
    job->excluded_endpoints.clear();
    if (this->IsUnservable(*job, now)) {
      this->Fail(job, ErrorCode::kBusy, "no endpoint can take it in time");
      return;
    }
    // Without an attempt nothing has refused the statement, and an endpoint
    // may be there at any moment.
    std::uniform_real_distribution<double> draw(0, 1);
    job->retry_at =
        now + (job->attempts == 0
                   ? kernel::Duration(kRetryPause)
                   : routing::BusyBackoff(job->attempts, this->UrgencyOf(*job),
                                          draw(this->random)));
    return;
  }
  if (now + chosen->expected >= job->deadline) {
    this->RefuseEarly(job, chosen->expected, now);
    return;
  }
  PoolEndpoint& endpoint = this->endpoints.at(chosen->endpoint_id);
  job->endpoint_id = chosen->endpoint_id;
  ++endpoint.outstanding;
  StartAttempt(*job, endpoint.response_ms, now);
  job->chosen_at = now;
  job->is_waiting_for_connection = true;
  endpoint.waiting.Push(job);
  this->DispatchWaiting(chosen->endpoint_id);
}

void ServicePool::RefuseEarly(const JobPointer& job, kernel::Duration expected,
                              Instant now) {
  this->context.metrics.Count("statements_refused_early");
  this->context.request_log.Write(
      kStatementRefusedEarly, now,
      {{"request", job->statement.id},
       {"service", this->service},
       {"endpoint", job->endpoint_id},
       {"priority", job->route.priority},
       {"expected_ms", kernel::ToMilliseconds(expected)},
       {"left_ms", kernel::ToMilliseconds(job->deadline - now)}});
  this->Fail(job, ErrorCode::kBusy, "no endpoint can answer it in time");
}

void ServicePool::Reconsider(const JobPointer& job, Instant now) {
  const PoolEndpoint* endpoint = this->Find(job->endpoint_id);
  if (endpoint == nullptr || now < job->chosen_at + kReconsiderAfter) {
    return;
  }
  const kernel::Duration expected =
      this->selector.ExpectedAt(*job, *endpoint, now);
  if (job->kind == JobKind::kRead) {
    const std::optional<EndpointSelector::Choice> other =
        this->selector.Choose(*job, now);
    if (other && other->endpoint_id != job->endpoint_id &&
        other->expected * 2 < expected) {
      this->context.metrics.Count("statements_moved_in_wait");
      this->Retry(job, now);
      return;
    }
  }
  const kernel::Duration shortest =
      std::max<kernel::Duration>(endpoint->connection_expected_at - now,
                                 kernel::Duration(0)) +
      milliseconds(static_cast<std::int64_t>(endpoint->default_response_ms));
  if (now + shortest >= job->deadline) {
    this->RefuseEarly(job, shortest, now);
  }
}

void ServicePool::SetDelay(const std::string& endpoint_id,
                           const routing::EndpointDelay& delay, Instant as_of) {
  if (PoolEndpoint* endpoint = this->Find(endpoint_id)) {
    endpoint->delay = delay;
    endpoint->delay_as_of = as_of;
  }
}

std::map<std::string, routing::EndpointLoad> ServicePool::TakeLoads() {
  std::map<std::string, routing::EndpointLoad> loads;
  for (auto& [id, endpoint] : this->endpoints) {
    if (endpoint.load.attempts > 0) {
      loads[id] = std::exchange(endpoint.load, {});
    }
  }
  return loads;
}

routing::BusyUrgency ServicePool::UrgencyOf(const StatementJob& job) const {
  std::set<int> more_urgent;
  for (const auto& [name, route] : this->context.configuration->routes) {
    if (route.service == this->service && route.priority < job.route.priority) {
      more_urgent.insert(route.priority);
    }
  }
  return {static_cast<int>(more_urgent.size()), job.is_pinned};
}

Instant ServicePool::LastContact(const std::string& endpoint_id) const {
  const auto found = this->endpoints.find(endpoint_id);
  return found == this->endpoints.end() ? Instant()
                                        : found->second.last_contact;
}

Instant ServicePool::LastAnswered(const std::string& endpoint_id) const {
  const auto found = this->endpoints.find(endpoint_id);
  return found == this->endpoints.end() ? Instant()
                                        : found->second.last_answered;
}

double ServicePool::IdleConnectionLimit() const {
  // Idle connections are worth keeping: opening one occupies a slot of the
  // endpoint for as long as half a statement.
  return std::floor(this->ConnectionShare());
}

double ServicePool::ConnectionShare() const {
  const auto& services = this->context.configuration->services;
  const auto found = services.find(this->service);
  const int limit = found == services.end() ? 1 : found->second.max_connections;
  return static_cast<double>(limit) / std::max(this->context.vm_count, 1);
}

void ServicePool::DispatchWaiting(const std::string& endpoint_id) {
  PoolEndpoint* endpoint = this->Find(endpoint_id);
  if (endpoint == nullptr) {
    return;
  }
  std::deque<JobPointer> ranked = endpoint->waiting.TakeAll(
      this->context.clock.Now(), ToExpected(endpoint->response_ms));
  while (!ranked.empty()) {
    const JobPointer job = ranked.front();
    ranked.pop_front();
    if (job->is_finished || !job->is_waiting_for_connection) {
      continue;
    }
    if (this->TryDispatch(*endpoint, job)) {
      endpoint->waiting.OnServed(*job, ranked);
    } else {
      endpoint->waiting.Push(job);
    }
  }
  this->ReportDemand(endpoint_id);
}

bool ServicePool::AreConnectionsShared() const {
  return this->context.connection_budget != nullptr &&
         this->context.connection_budget->IsShared(
             this->service, kMinimumConnections / kConnectionOvercommit);
}

void ServicePool::ReportDemand(const std::string& endpoint_id) {
  if (this->AreConnectionsShared()) {
    this->context.connection_budget->OnDemandChanged(endpoint_id);
  }
}

routing::ConnectionDemand ServicePool::Demand(
    const std::string& endpoint_id) const {
  routing::ConnectionDemand demand;
  const auto found = this->endpoints.find(endpoint_id);
  if (found == this->endpoints.end()) {
    return demand;
  }
  const PoolEndpoint& endpoint = found->second;
  demand.held = static_cast<int>(endpoint.connections.Count());
  Instant deadline;
  for (const JobPointer& job : endpoint.waiting.All()) {
    if (job->is_internal) {
      continue;
    }
    if (demand.wanted == 0 || job->route.priority < demand.priority) {
      demand.priority = job->route.priority;
    }
    ++demand.wanted;
    deadline = std::max(deadline, job->deadline);
  }
  const int opening = static_cast<int>(endpoint.connections.Count() -
                                       endpoint.connections.OpenCount());
  demand.wanted = std::clamp(demand.wanted - opening, 0,
                             kMaximumWantedPerSlot * endpoint.info.slots);
  demand.time_left = std::max(
      milliseconds(0),
      std::chrono::floor<milliseconds>(deadline - this->context.clock.Now()));
  return demand;
}

void ServicePool::OnConnectionsAnswered(const std::string& endpoint_id,
                                        Instant expected_at) {
  if (PoolEndpoint* endpoint = this->Find(endpoint_id)) {
    endpoint->connection_expected_at = expected_at;
    if (!endpoint->waiting.IsEmpty()) {
      this->DispatchWaiting(endpoint_id);
    }
  }
}

milliseconds ServicePool::IdleTimeout(const std::string& endpoint_id) const {
  return this->AreConnectionsShared()
             ? this->context.connection_budget->IdleTime(endpoint_id)
             : kIdleConnectionTimeout;
}

bool ServicePool::ReuseConnection(
    PoolEndpoint& endpoint,
    const std::shared_ptr<EndpointConnection>& connection) {
  const JobPointer job =
      endpoint.waiting.TakeFor(connection->Account(), this->context.clock.Now(),
                               ToExpected(endpoint.response_ms));
  if (!job) {
    return false;
  }
  this->Dispatch(job, connection);
  return true;
}

bool ServicePool::TryDispatch(PoolEndpoint& endpoint, const JobPointer& job) {
  EndpointConnections& connections = endpoint.connections;
  if (const auto free = connections.FindFree(*job)) {
    this->Dispatch(job, free);
    return true;
  }
  const std::string account =
      job->is_internal
          ? this->context.configuration->accounts.empty()
                ? "-"
                : this->context.configuration->accounts.begin()->first
          : job->account;
  if (connections.OpeningCount(account) >=
          endpoint.waiting.Count(account) + 1 ||
      this->context.clock.Now() < endpoint.connections_full_until) {
    return false;
  }
  // Statements of the proxy itself are few, and the ledger reserves connections
  // for them.
  const bool is_reserved = job->is_internal && this->AreConnectionsShared();
  if (is_reserved || this->MakeRoom(endpoint)) {
    this->OpenConnection(endpoint, account);
  }
  return false;
}

bool ServicePool::MakeRoom(PoolEndpoint& endpoint) {
  EndpointConnections& connections = endpoint.connections;
  if (this->AreConnectionsShared()) {
    ConnectionBudget& budget = *this->context.connection_budget;
    const int held = static_cast<int>(connections.Count());
    if (budget.MayOpen(endpoint.info.id, held)) {
      return true;
    }
    // While connections are short, one of another account is exchanged without
    // asking the lender.
    const auto oldest = connections.FindOldestFree();
    if (!oldest || !budget.MayOpen(endpoint.info.id, held - 1) ||
        budget.IdleTime(endpoint.info.id) >=
            routing::ConnectionLedger::kMaximumIdleTime) {
      return false;
    }
    this->Discard(oldest);
    return true;
  }
  const double budget = std::max(
      kMinimumConnections, this->ConnectionShare() * kConnectionOvercommit);
  if (static_cast<double>(connections.Count()) < budget) {
    return true;
  }
  const auto oldest = connections.FindOldestFree();
  if (!oldest) {
    return false;
  }
  this->Discard(oldest);
  return true;
}

void ServicePool::OpenConnection(PoolEndpoint& endpoint,
                                 const std::string& account) {
  auto connection = std::make_shared<EndpointConnection>(
      this->context.loop, endpoint.info, account);
  endpoint.connections.StartOpening(connection, this->context.clock.Now());
  this->context.metrics.Count("connections_opened");
  connection->Open(
      [this, id = endpoint.info.id, weak = std::weak_ptr(connection)](
          EndpointConnection::OpenResult result) {
        if (const auto opened = weak.lock()) {
          this->OnOpened(id, opened, result);
        }
      });
}

void ServicePool::OnOpened(
    const std::string& endpoint_id,
    const std::shared_ptr<EndpointConnection>& connection,
    EndpointConnection::OpenResult result) {
  using OpenResult = EndpointConnection::OpenResult;
  PoolEndpoint* endpoint = this->Find(endpoint_id);
  if (endpoint == nullptr || !endpoint->connections.FinishOpening(connection)) {
    connection->Close();
    return;
  }
  const Instant now = this->context.clock.Now();
  // After kMisrouted, another endpoint is at the address.
  if (result == OpenResult::kOpened || result == OpenResult::kOverload) {
    endpoint->last_contact = now;
  }
  if (result == OpenResult::kOpened) {
    endpoint->failures = 0;
    endpoint->suspended_until = Instant();
    connection->last_used = now;
    endpoint->connections.Add(connection);
    this->DispatchWaiting(endpoint_id);
    return;
  }
  if (result == OpenResult::kOverload) {
    this->context.metrics.Count("connections_refused");
    endpoint->connections_full_until = now + kConnectionsFullPause;
    if (this->AreConnectionsShared()) {
      this->context.connection_budget->OnRefused(endpoint_id);
      this->ReportDemand(endpoint_id);
    }
    return;
  }
  this->Suspend(*endpoint, now);
  this->MoveWaiting(*endpoint, now);
}

void ServicePool::MoveWaiting(PoolEndpoint& endpoint, Instant now) {
  // Copied, as handlers of failed statements may change the endpoints.
  const std::string endpoint_id = endpoint.info.id;
  const std::deque<JobPointer> waiting = endpoint.waiting.All();
  for (const JobPointer& job : waiting) {
    if (job->is_internal) {
      this->Fail(job, ErrorCode::kBusy, "the endpoint cannot be reached");
      continue;
    }
    job->excluded_endpoints.insert(endpoint_id);
    this->Retry(job, now);
  }
}

void ServicePool::Suspend(PoolEndpoint& endpoint, Instant now) {
  const int doublings =
      std::min(endpoint.failures, kMaximumSuspensionDoublings);
  ++endpoint.failures;
  endpoint.suspended_until = now + kSuspension * (1 << doublings);
}

void ServicePool::Dispatch(
    const JobPointer& job,
    const std::shared_ptr<EndpointConnection>& connection) {
  job->is_waiting_for_connection = false;
  job->connection = connection;
  if (job->may_send) {
    this->SendOrder(job);
    return;
  }
  if (job->is_internal) {
    this->SendStatement(job, std::nullopt);
    return;
  }
  if (this->MoveIfUnusable(job)) {
    return;
  }
  if (job->opens_transaction) {
    this->SendBegin(job);
    return;
  }
  const EndpointSelector::Freshness freshness = this->selector.FreshnessFor(
      *job, job->endpoint_id, this->context.clock.Now());
  if (!freshness.is_met) {
    this->Retry(job, this->context.clock.Now() + kRetryPause);
    return;
  }
  this->SendStatement(job, freshness.read_after);
}

void ServicePool::SendOrder(const JobPointer& job) {
  if (!job->may_send()) {
    this->Fail(job, ErrorCode::kBusy, "the order may not be given any more");
    return;
  }
  job->is_sent = true;
  ++job->attempts;
  job->attempt_started = this->context.clock.Now();
  job->connection->SendWithdrawable(
      platform_adapter::EncodeQuery(platform_adapter::kInternalStatementId,
                                    job->statement.text, std::nullopt),
      std::chrono::duration_cast<milliseconds>(job->deadline - job->arrived),
      [this, job](const std::optional<EndpointReply>& reply) {
        this->OnReply(job, reply);
      });
}

void ServicePool::SendBegin(const JobPointer& job) {
  const Instant now = this->context.clock.Now();
  const EndpointSelector::Freshness freshness =
      this->selector.FreshnessFor(*job, job->endpoint_id, now);
  if (!freshness.is_met) {
    this->Retry(job, now + kRetryPause);
    return;
  }
  job->read_lease_held_at = this->ReadLeaseHeldAt(job->endpoint_id, now);
  job->attempt_started = now;
  ++job->attempts;
  job->connection->Send(
      platform_adapter::EncodeQuery(
          platform_adapter::kInternalStatementId,
          platform_adapter::BeginText(job->is_read_only_transaction),
          freshness.read_after),
      0, [this, job](const std::optional<EndpointReply>& reply) {
        this->OnBegun(job, reply);
      });
}

void ServicePool::OnBegun(const JobPointer& job,
                          const std::optional<EndpointReply>& reply) {
  if (job->is_finished) {
    return;
  }
  if (!reply) {
    this->OnReplyLost(job);
    return;
  }
  if (!reply->signature || reply->state != TransactionState::kOpen) {
    this->OnRefused(job, *reply);
    return;
  }
  job->connection->is_pinned = true;
  if (!this->MoveIfUnusable(job)) {
    this->SendStatement(job, std::nullopt);
  }
}

bool ServicePool::MoveIfUnusable(const JobPointer& job) {
  const Instant now = this->context.clock.Now();
  const PoolEndpoint* endpoint = this->Find(job->endpoint_id);
  if (endpoint != nullptr && this->selector.MayReceive(*job, *endpoint, now)) {
    return false;
  }
  this->context.metrics.Count("statements_moved");
  this->context.request_log.Write(
      kStatementMoved, now,
      {{"request", job->statement.id},
       {"service", this->service},
       {"endpoint", job->endpoint_id},
       {"chosen_ms_ago", kernel::ToMilliseconds(now - job->chosen_at)},
       {"opens_transaction", job->opens_transaction}});
  this->Retry(job, now);
  return true;
}

void ServicePool::SendStatement(
    const JobPointer& job,
    const std::optional<model::LogPosition>& read_after) {
  const Instant now = this->context.clock.Now();
  platform_adapter::EncodedSetup encoded;
  std::string text = job->statement.text;
  if (!job->is_internal) {
    const statements::ConnectionSetup setup =
        job->connection->Values().PlanSetup(job->values, job->shape);
    encoded = platform_adapter::EncodeSetup(setup);
    if (job->shape) {
      text = platform_adapter::RenameExecution(job->statement,
                                               setup.prepared_name);
    }
  }
  encoded.bytes += platform_adapter::EncodeQuery(
      job->is_internal ? platform_adapter::kInternalStatementId
                       : job->statement.id,
      text, read_after);
  job->is_sent = true;
  if (this->selector.IsPrimary(job->endpoint_id)) {
    job->position_before = this->primary_position;
  }
  if (!job->opens_transaction) {
    ++job->attempts;
    job->attempt_started = now;
    job->read_lease_held_at = this->ReadLeaseHeldAt(job->endpoint_id, now);
  }
  job->connection->Send(encoded.bytes, encoded.replies,
                        [this, job](const std::optional<EndpointReply>& reply) {
                          this->OnReply(job, reply);
                        });
}

std::optional<Instant> ServicePool::ReadLeaseHeldAt(
    const std::string& endpoint_id, Instant now) const {
  const bool is_held = this->selector.IsPrimary(endpoint_id) &&
                       this->context.primaries.HasReadLease(this->service, now);
  return is_held ? std::optional(now) : std::nullopt;
}

void ServicePool::RecordReply(const StatementJob& job,
                              const EndpointReply& reply) {
  PoolEndpoint* endpoint = this->Find(job.endpoint_id);
  if (endpoint == nullptr) {
    return;
  }
  const Instant now = this->context.clock.Now();
  const double response_ms =
      std::chrono::duration<double, std::milli>(now - job.attempt_started)
          .count();
  endpoint->last_contact = now;
  endpoint->last_answered =
      std::max(endpoint->last_answered, job.attempt_started);
  if (reply.signature) {
    // A refusal takes no time at the endpoint. Counted as a response, it would
    // make the endpoint that refuses most look like the fastest.
    endpoint->response_ms +=
        kResponseSmoothing * (response_ms - endpoint->response_ms);
    endpoint->failures = 0;
    endpoint->health.OnSuccess(now);
    this->retry_budget.OnSuccess();
    ++endpoint->load.attempts;
    // The wait for a replica's log is told as its lag.
    if (endpoint->lag < kNoticeableLag) {
      endpoint->load.excess_ms +=
          std::max(response_ms - endpoint->default_response_ms, 0.0);
    }
  } else if (reply.error == ErrorCode::kFailed && !job.is_internal) {
    this->RecordFailure(job, now);
  } else if (reply.error == ErrorCode::kBusy && !job.is_internal) {
    const double lost_ms = response_ms + static_cast<double>(kBusyLoss.count());
    endpoint->health.OnBusy(now, ToExpected(lost_ms));
    ++endpoint->load.attempts;
    endpoint->load.loss_ms += lost_ms;
  }
  if (reply.position && job.read_lease_held_at) {
    this->samples.Add(*reply.position, *job.read_lease_held_at);
  }
  this->RecordPosition(job, reply);
}

void ServicePool::RecordFailure(const StatementJob& job, Instant now) {
  PoolEndpoint* endpoint = this->Find(job.endpoint_id);
  if (endpoint == nullptr) {
    return;
  }
  const kernel::Duration lost = now - job.attempt_started;
  const bool was_ejected = endpoint->health.IsEjected(now);
  endpoint->health.OnFailure(now, lost);
  ++endpoint->load.attempts;
  endpoint->load.loss_ms +=
      std::chrono::duration<double, std::milli>(lost).count();
  if (!was_ejected && endpoint->health.IsEjected(now)) {
    this->context.metrics.Count("endpoints_ejected");
    this->context.request_log.Write(
        kEndpointEjected, now,
        {{"service", this->service},
         {"endpoint", job.endpoint_id},
         {"failure_share", endpoint->health.FailureShare()},
         {"lost_ms", endpoint->health.LossMs(now)}});
  }
}

bool ServicePool::MayTryAgain(const JobPointer& job, Instant now) {
  if (this->retry_budget.TryTake()) {
    return true;
  }
  this->context.metrics.Count("retries_withheld");
  this->context.request_log.Write(
      kRetryWithheld, now,
      {{"request", job->statement.id},
       {"service", this->service},
       {"endpoint", job->endpoint_id},
       {"attempt", job->attempts},
       {"elapsed_ms", kernel::ToMilliseconds(now - job->arrived)}});
  return false;
}

void ServicePool::RecordPosition(const StatementJob& job,
                                 const EndpointReply& reply) {
  const routing::PrimaryRecord* record =
      this->context.primaries.Find(this->service);
  if (!reply.position || record == nullptr ||
      record->endpoint_id != job.endpoint_id) {
    return;
  }
  if (record->term != this->primary_term) {
    this->primary_term = record->term;
    this->primary_position.reset();
  }
  this->primary_position = std::max(
      this->primary_position.value_or(*reply.position), *reply.position);
  if (job.commits_write && reply.signature && job.position_before) {
    // The commit's own position is not told. It is after all that were known
    // before, while the one in the reply may cover later commits.
    this->ObserveCommitted(
        {job.position_before->term, job.position_before->position + 1});
  }
}

void ServicePool::ObserveCommitted(const model::LogPosition& position) {
  if (const auto* record = this->context.primaries.Find(this->service)) {
    this->committed.Observe(record->term, position);
  }
}

model::LogPosition ServicePool::Committed() const {
  const auto* record = this->context.primaries.Find(this->service);
  return record == nullptr
             ? model::LogPosition()
             : std::max(this->committed.Find(record->term), record->committed);
}

void ServicePool::OnReply(const JobPointer& job,
                          const std::optional<EndpointReply>& reply) {
  if (job->is_finished) {
    return;
  }
  if (!reply) {
    this->OnReplyLost(job);
    return;
  }
  this->RecordReply(*job, *reply);
  if (reply->signature || MayHaveRun(reply->error)) {
    this->CountRun(*job);
  }
  if (!reply->signature && !job->is_internal) {
    this->OnRefused(job, *reply);
    return;
  }
  const bool is_primary = this->selector.IsPrimary(job->endpoint_id);
  if (job->commits_write &&
      (!is_primary || this->context.primaries.Find(this->service)->is_lost)) {
    this->OnUnconfirmedCommit(job);
    return;
  }
  JobResult result;
  result.reply = reply;
  result.was_primary = is_primary;
  result.endpoint_id = job->endpoint_id;
  if (reply->state == TransactionState::kOpen && !job->is_internal) {
    result.connection = job->connection;
    result.connection->is_pinned = true;
  }
  this->Finish(job, std::move(result));
}

void ServicePool::CountRun(const StatementJob& job) const {
  // A transaction is one request, which its first statement begins.
  if (job.is_sent && !job.is_finished && !job.is_internal && !job.is_pinned) {
    this->context.usage_meter.OnRun(job.account, job.attempt_started,
                                    this->context.clock.Now());
  }
}

void ServicePool::OnUnconfirmedCommit(const JobPointer& job) {
  const Instant now = this->context.clock.Now();
  this->context.metrics.Count("commits_unconfirmed");
  this->context.request_log.Write(
      kCommitUnconfirmed, now,
      {{"request", job->statement.id},
       {"service", this->service},
       {"endpoint", job->endpoint_id},
       {"elapsed_ms", kernel::ToMilliseconds(now - job->arrived)}});
  this->Fail(job, ErrorCode::kUnknown,
             "the endpoint that committed is not the primary any more");
}

void ServicePool::OnReplyLost(const JobPointer& job) {
  const Instant now = this->context.clock.Now();
  this->CountRun(*job);
  if (PoolEndpoint* endpoint = this->Find(job->endpoint_id)) {
    if (job->is_internal) {
      this->Suspend(*endpoint, now);
    } else if (job->is_sent) {
      this->RecordFailure(*job, now);
    }
  }
  this->context.metrics.Count("answers_lost");
  this->context.request_log.Write(
      kAnswerLost, now,
      {{"request", job->statement.id},
       {"service", this->service},
       {"endpoint", job->endpoint_id},
       {"sent", job->is_sent},
       {"in_transaction", job->is_pinned},
       {"elapsed_ms", kernel::ToMilliseconds(now - job->arrived)}});
  if (MayHaveCommitted(*job)) {
    this->Fail(job, ErrorCode::kUnknown, "the answer of the endpoint is lost");
    return;
  }
  if (job->is_pinned) {
    this->Fail(job, ErrorCode::kAborted, "the transaction's connection ended");
    return;
  }
  if (job->is_internal) {
    this->Fail(job, ErrorCode::kBusy, "the endpoint ended the connection");
    return;
  }
  if (job->is_sent && !this->MayTryAgain(job, now)) {
    // The lost connection rolls back; a read keeps nothing.
    this->Fail(job, ErrorCode::kAborted, "the answer of the endpoint is lost");
    return;
  }
  job->is_sent = false;
  job->excluded_endpoints.insert(job->endpoint_id);
  this->Retry(job, now);
}

bool ServicePool::MayHaveCommitted(const StatementJob& job) {
  const bool is_single_write =
      job.kind == JobKind::kWrite && !job.opens_transaction && !job.is_pinned;
  return job.is_sent &&
         (job.statement.kind == StatementKind::kCommit || is_single_write);
}

void ServicePool::OnRefused(const JobPointer& job, const EndpointReply& reply) {
  const Instant now = this->context.clock.Now();
  this->context.metrics.Count("endpoint_refusals");
  this->context.request_log.Write(
      kEndpointRefused, now,
      {{"request", job->statement.id},
       {"service", this->service},
       {"endpoint", job->endpoint_id},
       {"code", ToString(reply.error)},
       {"attempt", job->attempts},
       {"primary", this->selector.IsPrimary(job->endpoint_id)},
       {"elapsed_ms", kernel::ToMilliseconds(now - job->arrived)}});
  if (this->CanResend(*job, reply) && this->ScheduleResend(job, now)) {
    return;
  }
  const bool is_read = job->kind != JobKind::kWrite;
  const bool is_out_of_time =
      job->deadline < now + kRetryPause && reply.error == ErrorCode::kBusy;
  const bool may_retry =
      !is_out_of_time && (statements::IsNotRun(reply.error) ||
                          (is_read && reply.error == ErrorCode::kFailed));
  if (job->is_pinned) {
    JobResult result;
    result.reply = reply;
    result.endpoint_id = job->endpoint_id;
    if (reply.state == TransactionState::kOpen) {
      result.connection = job->connection;
    }
    this->Finish(job, std::move(result));
    return;
  }
  if (!may_retry ||
      (reply.error == ErrorCode::kFailed && !this->MayTryAgain(job, now))) {
    JobResult result;
    result.reply = reply;
    result.endpoint_id = job->endpoint_id;
    this->Finish(job, std::move(result));
    return;
  }
  job->is_sent = false;
  if (reply.error == ErrorCode::kNoPreparedStatement) {
    this->Discard(job->connection);
  }
  if (job->kind == JobKind::kRead) {
    job->excluded_endpoints.insert(job->endpoint_id);
    this->Retry(job, now);
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  this->Retry(job, now + kernel::Backoff(kRetryPause, kLongestRetryPause,
                                         std::max(job->attempts, 1),
                                         draw(this->random)));
}

bool ServicePool::CanResend(const StatementJob& job,
                            const EndpointReply& reply) const {
  // A read outside a transaction is retried on another endpoint instead.
  const bool is_bound_to_endpoint = job.is_pinned ||
                                    job.kind != JobKind::kRead ||
                                    reply.state == TransactionState::kOpen;
  return reply.error == ErrorCode::kBusy && is_bound_to_endpoint &&
         reply.state != TransactionState::kFailed && job.connection->IsOpen();
}

bool ServicePool::ScheduleResend(const JobPointer& job, Instant now) {
  ++job->busy_refusals;
  std::uniform_real_distribution<double> draw(0, 1);
  const Instant resend_at =
      now + routing::BusyBackoff(job->busy_refusals, this->UrgencyOf(*job),
                                 draw(this->random));
  if (resend_at >= job->deadline) {
    return false;
  }
  job->is_sent = false;
  job->resend_at = resend_at;
  job->connection->is_reserved = true;
  return true;
}

void ServicePool::Resend(const JobPointer& job, Instant now) {
  job->resend_at = Instant();
  job->connection->is_reserved = false;
  if (!job->connection->IsOpen()) {
    this->OnReplyLost(job);
    return;
  }
  if (now >= job->deadline) {
    // This VM did not run at the time of the next attempt.
    this->Discard(std::exchange(job->connection, nullptr));
    this->Fail(job, job->is_pinned ? ErrorCode::kAborted : ErrorCode::kBusy,
               "the endpoint refused it until its deadline");
    return;
  }
  if (const PoolEndpoint* endpoint = this->Find(job->endpoint_id)) {
    StartAttempt(*job, endpoint->response_ms, now);
  }
  if (job->is_pinned) {
    this->ContinueTransaction(job);
  } else if (job->connection->is_pinned) {
    if (!this->MoveIfUnusable(job)) {
      this->SendStatement(job, std::nullopt);
    }
  } else if (const auto choice = this->selector.Choose(*job, now);
             choice && choice->endpoint_id == job->endpoint_id) {
    this->Dispatch(job, job->connection);
  } else {
    // The primary was replaced in the meantime.
    this->Retry(job, now);
  }
}

void ServicePool::Retry(const JobPointer& job, Instant retry_at) {
  this->LeaveEndpoint(job, true);
  job->retry_at = retry_at;
  if (retry_at <= this->context.clock.Now()) {
    this->Place(job);
  }
}

void ServicePool::LeaveEndpoint(const JobPointer& job, bool keep_connection) {
  PoolEndpoint* endpoint = this->Find(job->endpoint_id);
  if (endpoint != nullptr) {
    --endpoint->outstanding;
    endpoint->waiting.Remove(job);
    this->ReportDemand(endpoint->info.id);
  }
  job->is_waiting_for_connection = false;
  const std::shared_ptr<EndpointConnection> connection =
      std::exchange(job->connection, nullptr);
  const std::string endpoint_id = std::exchange(job->endpoint_id, {});
  if (!connection) {
    return;
  }
  connection->is_reserved = false;
  if (!keep_connection || connection->IsBusy()) {
    this->Discard(connection);
  } else if (connection->is_pinned) {
    this->RollBack(connection);
  } else {
    this->ReturnConnection(connection);
  }
}

void ServicePool::Finish(const JobPointer& job, JobResult result) {
  if (job->is_finished) {
    return;
  }
  job->is_finished = true;
  if (result.connection) {
    // The session keeps the connection for its transaction.
    if (PoolEndpoint* endpoint = this->Find(job->endpoint_id)) {
      --endpoint->outstanding;
    }
    job->connection = nullptr;
  } else {
    const bool is_transaction_over =
        result.reply.has_value() &&
        result.reply->state == TransactionState::kIdle;
    if (job->connection && is_transaction_over) {
      job->connection->is_pinned = false;
    }
    this->LeaveEndpoint(job, result.reply.has_value());
  }
  const auto done = std::exchange(job->done, nullptr);
  if (done) {
    done(std::move(result));
  }
}

void ServicePool::Fail(const JobPointer& job, ErrorCode error,
                       const std::string& reason) {
  JobResult result;
  result.error = error;
  result.reason = reason;
  result.endpoint_id = job->endpoint_id;
  this->Finish(job, std::move(result));
}

void ServicePool::Cancel(const JobPointer& job) {
  job->done = nullptr;
  this->CountRun(*job);
  this->Fail(job, ErrorCode::kAborted, "the client disconnected");
}

void ServicePool::GiveUp(const JobPointer& job, const std::string& reason) {
  this->CountRun(*job);
  ErrorCode error = ErrorCode::kBusy;
  if (MayHaveCommitted(*job)) {
    error = ErrorCode::kUnknown;
  } else if (job->is_sent || job->is_pinned) {
    // Closing the connection rolls the transaction back; a read keeps nothing.
    error = ErrorCode::kAborted;
  }
  this->Fail(job, error, reason);
}

void ServicePool::ReturnConnection(
    const std::shared_ptr<EndpointConnection>& connection) {
  if (!connection->IsOpen() ||
      connection->Values().Bytes() > kMaximumConnectionState) {
    this->Discard(connection);
    return;
  }
  connection->last_used = this->context.clock.Now();
  PoolEndpoint* owner = this->Find(connection->EndpointId());
  if (owner == nullptr) {
    connection->Close();
    return;
  }
  if (this->ReuseConnection(*owner, connection)) {
    return;
  }
  this->DispatchWaiting(owner->info.id);
  this->CloseIfNotKept(*owner, connection);
}

void ServicePool::CloseIfNotKept(
    PoolEndpoint& endpoint,
    const std::shared_ptr<EndpointConnection>& connection) {
  const bool is_kept =
      this->AreConnectionsShared()
          ? this->IdleTimeout(endpoint.info.id) > milliseconds(0)
          : static_cast<double>(endpoint.connections.OpenCount()) <=
                this->IdleConnectionLimit();
  if (connection->IsOpen() && connection->IsFree() && !is_kept) {
    this->Discard(connection);
  }
}

void ServicePool::RollBack(
    const std::shared_ptr<EndpointConnection>& connection) {
  if (!connection->IsOpen() || connection->IsBusy()) {
    this->Discard(connection);
    return;
  }
  connection->last_used = this->context.clock.Now();
  connection->Send(
      platform_adapter::EncodeQuery(platform_adapter::kInternalStatementId,
                                    platform_adapter::RollbackText(),
                                    std::nullopt),
      0, [this, connection](const std::optional<EndpointReply>& reply) {
        if (!reply || reply->state != TransactionState::kIdle) {
          this->Discard(connection);
          return;
        }
        connection->is_pinned = false;
        this->ReturnConnection(connection);
      });
}

void ServicePool::Discard(
    const std::shared_ptr<EndpointConnection>& connection) {
  connection->Close();
  if (PoolEndpoint* owner = this->Find(connection->EndpointId())) {
    owner->connections.Remove(connection);
    this->ReportDemand(owner->info.id);
  }
}

void ServicePool::CheckTimeout(const JobPointer& job, Instant now) {
  const bool has_endpoint = !job->endpoint_id.empty();
  if (!has_endpoint) {
    if (now >= job->deadline) {
      this->Fail(job, ErrorCode::kBusy, "no endpoint took the statement");
    } else if (now >= job->retry_at) {
      this->Place(job);
    }
    return;
  }
  if (job->resend_at != Instant()) {
    if (now >= job->resend_at) {
      this->Resend(job, now);
    }
    return;
  }
  if (now < job->attempt_deadline) {
    if (job->is_waiting_for_connection && !job->is_internal) {
      this->Reconsider(job, now);
    }
    return;
  }
  PoolEndpoint* endpoint = this->Find(job->endpoint_id);
  if (endpoint != nullptr && job->connection) {
    // One that answered others meanwhile hangs on a part of its statements.
    // That is left to its health; writes have no other endpoint.
    if (endpoint->last_contact <= job->attempt_started) {
      this->Suspend(*endpoint, now);
    }
    // Connections that were idle during the attempt may be dead as well.
    for (const auto& connection :
         endpoint->connections.FreeSince(job->attempt_started)) {
      this->Discard(connection);
    }
  }
  const bool was_sent = job->is_sent;
  if (was_sent && !job->is_internal && now >= job->deadline) {
    this->RecordFailure(*job, now);
  }
  if (job->connection) {
    this->Discard(job->connection);
  }
  if (job->is_internal || now < job->deadline) {
    this->OnReplyLost(job);
    return;
  }
  this->CountRun(*job);
  this->Fail(job, was_sent ? ErrorCode::kTimeout : ErrorCode::kBusy,
             "the endpoint did not answer in time");
}

void ServicePool::Tick(Instant now) {
  const std::vector<JobPointer> current = this->jobs;
  for (const JobPointer& job : current) {
    if (!job->is_finished) {
      this->CheckTimeout(job, now);
    }
  }
  this->jobs.erase(
      std::remove_if(this->jobs.begin(), this->jobs.end(),
                     [](const JobPointer& job) { return job->is_finished; }),
      this->jobs.end());
  std::vector<std::string> unresponsive;
  for (auto& [id, endpoint] : this->endpoints) {
    const int hanging =
        endpoint.connections.CloseHangingSince(now - kConnectTimeout);
    for (int count = 0; count < hanging; ++count) {
      this->Suspend(endpoint, now);
    }
    if (hanging > 0) {
      unresponsive.push_back(id);
    }
    endpoint.connections.CloseIdleSince(now - this->IdleTimeout(id));
  }
  // Afterwards, as handlers of failed statements may change the endpoints.
  for (const std::string& id : unresponsive) {
    if (PoolEndpoint* endpoint = this->Find(id)) {
      this->MoveWaiting(*endpoint, now);
    }
  }
  for (auto& [id, endpoint] : this->endpoints) {
    if (!endpoint.waiting.IsEmpty()) {
      this->DispatchWaiting(id);
    }
  }
  this->RemoveUnusedEndpoints();
  this->RefreshSamples(now);
}

void ServicePool::RefreshSamples(Instant now) {
  const bool is_in_use = now < this->last_used + kServiceInUsePeriod;
  if (this->is_sampling || !is_in_use ||
      now < this->samples.CoveredUntil() + kMaximumSampleAge ||
      !this->context.primaries.HasReadLease(this->service, now)) {
    return;
  }
  this->is_sampling = true;
  const routing::PrimaryRecord* record =
      this->context.primaries.Find(this->service);
  this->RunInternal(record->endpoint_id, platform_adapter::StatusText(),
                    kConnectTimeout,
                    [this](const std::optional<EndpointReply>&) {
                      this->is_sampling = false;
                    });
}

void ServicePool::OnDirectoryChanged() {
  const routing::PrimaryRecord* record =
      this->context.primaries.Find(this->service);
  if (record != nullptr && record->version != this->primary_version) {
    this->primary_version = record->version;
    this->primary_adopted = this->context.clock.Now();
  }
  for (const auto& [id, info] : this->context.endpoints) {
    this->AddEndpoint(info);
  }
  for (const auto& [id, unregistered] : this->context.unregistered_endpoints) {
    this->AddEndpoint(unregistered.endpoint);
  }
  std::vector<std::string> removed;
  for (const auto& [id, endpoint] : this->endpoints) {
    if (!this->context.endpoints.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    PoolEndpoint& endpoint = this->endpoints.at(id);
    const bool is_unregistered =
        this->context.unregistered_endpoints.contains(id);
    const std::deque<JobPointer> waiting = endpoint.waiting.All();
    for (const JobPointer& job : waiting) {
      if (!job->is_internal) {
        this->Retry(job, this->context.clock.Now());
      } else if (!is_unregistered) {
        this->Fail(job, ErrorCode::kBusy, "the endpoint has left");
      }
    }
  }
  this->has_removed_endpoints = !removed.empty();
  this->RemoveUnusedEndpoints();
}

void ServicePool::RemoveUnusedEndpoints() {
  if (!std::exchange(this->has_removed_endpoints, false)) {
    return;
  }
  for (auto entry = this->endpoints.begin(); entry != this->endpoints.end();) {
    const auto current = entry++;
    if (this->context.endpoints.contains(current->first)) {
      continue;
    }
    if (this->context.unregistered_endpoints.contains(current->first) ||
        current->second.connections.IsInUse()) {
      this->has_removed_endpoints = true;
      continue;
    }
    current->second.connections.CloseAll();
    this->endpoints.erase(current);
  }
}

void ServicePool::AddEndpoint(const model::DatabaseEndpoint& info) {
  if (info.service != this->service) {
    return;
  }
  const auto [entry, is_new] = this->endpoints.try_emplace(info.id);
  PoolEndpoint& endpoint = entry->second;
  if (is_new) {
    endpoint.default_response_ms =
        this->selector.IsInOwnRegion(info.data_centre) ? kOwnRegionResponseMs
                                                       : kOtherRegionResponseMs;
    endpoint.response_ms = endpoint.default_response_ms;
  }
  endpoint.info = info;
}

PoolEndpoint* ServicePool::Find(const std::string& endpoint_id) {
  const auto found = this->endpoints.find(endpoint_id);
  return found == this->endpoints.end() ? nullptr : &found->second;
}

}  // namespace laburnumkeel::proxy
