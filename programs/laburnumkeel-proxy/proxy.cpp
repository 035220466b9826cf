#include "programs/laburnumkeel-proxy/proxy.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/model/store_version.h"
#include "laburnumkeel/transport/socket_address.h"
#include "platform/promotion_call.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using kernel::LogEvent;
using membership::StopSchedule;
using std::chrono::milliseconds;

namespace {

// Resolution of statement timeouts while statements are in progress.
constexpr milliseconds kBusyTick{25};
constexpr milliseconds kIdleTick{100};
// All clients reconnect at once after a restart of the whole fleet.
constexpr int kListenBacklog = 1024;
// The balancer and operators need a few connections without bodies.
constexpr std::size_t kProbeConnections = 64;
constexpr std::size_t kProbeBodyBytes = std::size_t{4} << 10;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusNotFound = 404;
// Strongly consistent and bounded-staleness reads end when the last read lease
// expires, 1.5 s after the last answer of the leader or the store.
constexpr milliseconds kIsolationTimeout{2000};
// An isolated VM closes idle sessions at the rate of one in this many sessions
// per tick.
constexpr std::size_t kIsolatedSessionDivisor = 30;
// The settings file may change without a signal, and operators expect a change
// to take effect within a few seconds.
constexpr std::chrono::seconds kSettingsCheckPeriod{1};
// Buffers of the system for each client connection. What a client sends ahead
// or does not take stays outside the process, so that it has to be bounded,
// too.
constexpr int kSystemBufferBytes = 64 << 10;
// A VM that stops waits this long for the leader to confirm its counts of
// usage, and reports them again in this period. Covers a change of leader.
constexpr milliseconds kUsageDeliveryTime{1500};
constexpr milliseconds kUsageReportPeriod{150};
constexpr auto kNoFile = std::filesystem::file_time_type::min();

bool IsResourceError(const boost::system::error_code& error) {
  return error == boost::asio::error::no_descriptors ||
         error == boost::system::errc::too_many_files_open_in_system ||
         error == boost::asio::error::no_buffer_space ||
         error == boost::asio::error::no_memory;
}

platform_adapter::ProxySettings WithinLimitsOfProcess(
    platform_adapter::ProxySettings settings) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    settings.file_descriptors =
        std::min<std::size_t>(settings.file_descriptors, limit.rlim_cur);
  }
  return settings;
}

}  // namespace

Proxy::Proxy(platform_adapter::ProxySettings settings,
             std::string settings_path)
    : context(WithinLimitsOfProcess(std::move(settings))),
      settings_path(std::move(settings_path)),
      store(this->context,
            {[this] { this->OnDirectoryChanged(); },
             [this](const promotion::LeaderRecord* record,
                    std::uint64_t version, std::int64_t store_now_ms) {
               this->OnLeaderRow(record, version, store_now_ms);
             }}),
      leadership(this->context, this->store,
                 [this] { this->exchange.AnnounceRelease(); }),
      failover_manager(this->context, this->store, this->leadership,
                       this->PoolFinder(),
                       [this] { this->exchange.Announce(); }),
      gate(this->context, [this] { this->exchange.ReportSoon(); }),
      usage_counter(this->context),
      usage_reporter(this->context, this->store, this->leadership,
                     this->usage_counter),
      peer_socket(this->context),
      operations(this->context, this->gate, this->peer_socket),
      connection_budget(this->context, this->peer_socket,
                        this->BudgetHandlers()),
      exchange(this->context, this->store, this->leadership, this->gate,
               this->operations, this->usage_counter, this->usage_reporter,
               this->peer_socket, this->PoolFinder()),
      environment{this->context, this->PoolFinder(), this->gate},
      acceptor(this->context.loop),
      probe(this->context.loop,
            [this](const transport::HttpCall& call) {
              return this->HandleProbe(call.target);
            }),
      signals(this->context.loop, SIGTERM, SIGINT, SIGHUP),
      tick_timer(this->context.loop) {
  this->probe.SetLimits(kProbeConnections, kProbeBodyBytes);
  this->context.connection_budget = &this->connection_budget;
  this->settings_write_time = this->SettingsWriteTime();
}

int Proxy::Run() {
  if (!this->Listen()) {
    return 1;
  }
  this->WaitForSignal();
  this->store.Tick(this->context.clock.Now(), false);
  this->ScheduleTick();
  this->RunLoop();
  LogEvent(kProxyStopped, {{"vm", this->context.settings.vm}});
  return 0;
}

void Proxy::RunLoop() {
  while (!this->context.loop.stopped()) {
    try {
      this->context.loop.run();
    } catch (const std::exception& error) {
      // What the handler worked on runs into its time limit; all other clients
      // are served.
      this->context.metrics.Count("handlers_failed");
      LogEvent(kHandlerThrew, {{"reason", error.what()}});
    }
  }
}

bool Proxy::Listen() {
  const auto endpoint =
      transport::ParseSocketAddress(this->context.settings.client_address);
  boost::system::error_code error =
      boost::asio::error::make_error_code(boost::asio::error::invalid_argument);
  if (endpoint) {
    this->acceptor.open(endpoint->protocol(), error);
    this->acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                              error);
    // Connections inherit these. Without them the system grows the buffers to
    // several megabytes each.
    boost::system::error_code ignored;
    this->acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(kSystemBufferBytes),
        ignored);
    this->acceptor.set_option(
        boost::asio::socket_base::send_buffer_size(kSystemBufferBytes),
        ignored);
    this->acceptor.bind(*endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(kListenBacklog, error);
  }
  if (error || !this->probe.Listen(this->context.settings.readiness_address) ||
      !this->peer_socket.Listen() || !this->store.Listen()) {
    LogEvent(kSettingsInvalid,
             {{"reason", "cannot listen on a configured address"},
              {"client_address", this->context.settings.client_address},
              {"error", error.message()}});
    return false;
  }
  this->exchange.Start();
  this->Accept();
  return true;
}

void Proxy::Accept() {
  if (this->context.clients.Connections() >=
      this->context.clients.Limits().connections) {
    this->AwaitClient();
    return;
  }
  this->acceptor.async_accept([this](boost::system::error_code error,
                                     boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted ||
        !this->acceptor.is_open()) {
      return;
    }
    if (IsResourceError(error)) {
      // Accepting at once again would fail at once again.
      this->PauseAccepting(error.message());
      return;
    }
    if (!error) {
      auto session = std::make_shared<ClientSession>(
          this->environment, std::move(socket), [this](ClientSession& ended) {
            this->sessions.erase(ended.shared_from_this());
            this->session_ended_at = this->context.clock.Now();
          });
      this->sessions.insert(session);
      session->Start();
    }
    this->Accept();
  });
}

void Proxy::AwaitClient() {
  this->acceptor.async_wait(
      boost::asio::socket_base::wait_read,
      [this](boost::system::error_code error) {
        if (error == boost::asio::error::operation_aborted ||
            !this->acceptor.is_open()) {
          return;
        }
        if (this->context.clients.MakeRoomForConnection()) {
          this->Accept();
        } else {
          this->PauseAccepting("all connections are in use");
        }
      });
}

void Proxy::PauseAccepting(const std::string& reason) {
  this->is_accept_paused = true;
  if (!std::exchange(this->is_pause_logged, true)) {
    this->context.metrics.Count("accept_pauses");
    LogEvent(kAcceptPaused,
             {{"reason", reason},
              {"connections", this->context.clients.Connections()}});
  }
}

void Proxy::ContinueAccepting() {
  if (this->is_accept_paused && this->acceptor.is_open()) {
    this->is_accept_paused = false;
    this->Accept();
    if (!this->is_accept_paused &&
        this->context.clients.Connections() <
            this->context.clients.Limits().connections) {
      this->is_pause_logged = false;
      LogEvent(kAcceptResumed,
               {{"connections", this->context.clients.Connections()}});
    }
  }
}

void Proxy::WaitForSignal() {
  this->signals.async_wait([this](boost::system::error_code error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      this->Reload();
    } else {
      this->BeginStop();
    }
    this->WaitForSignal();
  });
}

void Proxy::ReloadIfChanged(Instant now) {
  if (now < this->settings_checked_at + kSettingsCheckPeriod) {
    return;
  }
  this->settings_checked_at = now;
  const auto written = this->SettingsWriteTime();
  // A file that is just being replaced is checked again in the next period.
  if (written != kNoFile && written != this->settings_write_time) {
    this->Reload();
  }
}

std::filesystem::file_time_type Proxy::SettingsWriteTime() const {
  std::error_code error;
  const auto written =
      std::filesystem::last_write_time(this->settings_path, error);
  return error ? kNoFile : written;
}

void Proxy::Reload() {
  this->settings_write_time = this->SettingsWriteTime();
  platform_adapter::SettingsResult result =
      platform_adapter::ReadSettingsFile(this->settings_path);
  if (!result.settings) {
    for (const std::string& fault : result.faults) {
      LogEvent(kSettingsInvalid, {{"reason", fault}});
    }
    return;
  }
  LogEvent(kSettingsReloaded,
           {{"changed", !(*result.settings == this->context.settings)}});
  this->context.settings = WithinLimitsOfProcess(std::move(*result.settings));
  this->context.clients.SetLimits(this->context.settings.ClientLimits());
}

bool Proxy::IsReady() const {
  if (this->context.stop || !this->store.IsComplete()) {
    return false;
  }
  if (this->IsIsolated(this->context.clock.Now())) {
    return false;
  }
  const auto& routes = this->context.configuration->routes;
  return std::any_of(routes.begin(), routes.end(), [&](const auto& route) {
    return this->context.primaries.Find(route.second.service) != nullptr;
  });
}

bool Proxy::IsIsolated(Instant now) const {
  return now >=
         std::max(this->context.leader_last_contact, this->store.LastReadAt()) +
             kIsolationTimeout;
}

void Proxy::CloseSessionsWhenIsolated(Instant now) {
  // A VM that has just started has not received any answer yet.
  if (!this->was_ready || !this->IsIsolated(now)) {
    this->isolated_since = Instant();
    return;
  }
  if (this->isolated_since == Instant()) {
    this->isolated_since = now;
    LogEvent(kProxyIsolated, {{"sessions", this->sessions.size()}});
  }
  if (now < this->isolated_since + StopSchedule::kBalancerDelay) {
    return;
  }
  this->CloseIdleSessions(this->sessions.size() / kIsolatedSessionDivisor + 1);
}

void Proxy::CloseIdleSessions(std::size_t max_count) {
  this->CloseSessions(max_count, &ClientSession::IsIdle);
}

void Proxy::CloseSessions(std::size_t max_count,
                          bool (ClientSession::*may_close)() const) {
  std::vector<std::shared_ptr<ClientSession>> closing;
  for (const auto& session : this->sessions) {
    if (closing.size() < max_count && (session.get()->*may_close)()) {
      closing.push_back(session);
    }
  }
  // Collected first, because a session that ends removes itself from the set.
  for (const auto& session : closing) {
    session->Dismiss();
  }
}

transport::HttpAnswer Proxy::HandleProbe(const std::string& target) {
  if (target == platform_adapter::kReadinessTarget) {
    return {this->IsReady() ? transport::HttpAnswer::kOk : kStatusUnavailable,
            ""};
  }
  if (target == "/metrics") {
    return {transport::HttpAnswer::kOk,
            this->context.metrics.Text() + "client_memory_bytes " +
                std::to_string(this->context.clients.Memory().Used()) +
                "\nclient_connections " +
                std::to_string(this->context.clients.Connections()) + "\n"};
  }
  if (target == "/usage") {
    return {transport::HttpAnswer::kOk,
            this->usage_reporter.Describe(this->context.clock.Now())};
  }
  return {kStatusNotFound, ""};
}

void Proxy::BeginStop() {
  if (this->context.stop) {
    return;
  }
  this->context.stop.emplace(this->context.clock.Now(),
                             this->context.settings.grace_period,
                             this->sessions.size());
  LogEvent(kProxyStopping, {{"sessions", this->sessions.size()}});
  this->leadership.AcquireNoMore();
}

void Proxy::ContinueStop(const StopSchedule& stop, Instant now) {
  if (!stop.MayLead(now)) {
    this->leadership.Release();
  }
  if (stop.AreTransactionsOver(now)) {
    for (const auto& session : this->sessions) {
      if (session->IsIdleInTransaction()) {
        session->AbortTransaction("the proxy is shutting down");
      }
    }
  }
  if (stop.AreStatementsOver(now)) {
    this->EndSessionsAtWork();
  }
  if (stop.MayAdmit(now)) {
    this->CloseIdleSessions(
        stop.IdleSessionsToClose(this->sessions.size(), kBusyTick, now));
  } else {
    // A client that cannot connect tries another VM at once.
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->CloseSessions(this->sessions.size(), &ClientSession::IsAtRest);
  }
  if (stop.MayExit(this->sessions.size(), this->session_ended_at, now) &&
      this->IsUsageDelivered(stop, now)) {
    this->exchange.ReportLeaving();
    this->context.loop.stop();
  }
}

bool Proxy::IsUsageDelivered(const StopSchedule& stop, Instant now) {
  if (this->exit_due_since == Instant()) {
    this->exit_due_since = now;
  }
  if (this->usage_counter.IsDelivered() || stop.IsOver(now) ||
      now >= this->exit_due_since + kUsageDeliveryTime) {
    return true;
  }
  if (now >= this->usage_reported_at + kUsageReportPeriod) {
    this->usage_reported_at = now;
    this->exchange.ReportUsageSoon();
  }
  return false;
}

void Proxy::EndSessionsAtWork() {
  // Copied, because a session that ends removes itself from the set.
  const std::vector<std::shared_ptr<ClientSession>> open(this->sessions.begin(),
                                                         this->sessions.end());
  for (const auto& session : open) {
    session->GiveUp("the proxy is shutting down");
  }
}

void Proxy::ScheduleTick() {
  bool has_work = this->context.stop.has_value();
  for (const auto& [name, pool] : this->pools) {
    has_work |= pool->HasWork();
  }
  this->tick_timer.expires_after(has_work ? kBusyTick : kIdleTick);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      // First, so that an exception does not end the ticks.
      this->ScheduleTick();
      this->Tick();
    }
  });
}

void Proxy::Tick() {
  const Instant now = this->context.clock.Now();
  for (const auto& [name, pool] : this->pools) {
    pool->Tick(now);
  }
  this->context.clients.Tick(now);
  this->ContinueAccepting();
  this->leadership.Tick(now);
  this->connection_budget.Tick();
  this->failover_manager.Tick(now);
  this->usage_reporter.Tick(now);
  this->store.Tick(now, this->leadership.IsLeader());
  this->exchange.Tick(now);
  this->operations.Tick(now);
  this->gate.Tick(now);
  if (!this->context.configuration) {
    this->ContinueStartups();
  }
  this->AbortIdleTransactions(now);
  this->CloseSessionsWhenIsolated(now);
  this->ReloadIfChanged(now);
  if (this->context.stop) {
    this->ContinueStop(*this->context.stop, now);
  }
  if (this->IsReady() && !std::exchange(this->was_ready, true)) {
    LogEvent(kProxyReady, {{"vm", this->context.settings.vm},
                           {"version", this->context.configuration->version},
                           {"endpoints", this->context.endpoints.size()}});
  }
}

void Proxy::ContinueStartups() {
  // Copied, because a session that ends removes itself from the set.
  const std::vector<std::shared_ptr<ClientSession>> open(this->sessions.begin(),
                                                         this->sessions.end());
  for (const auto& session : open) {
    session->ContinueStartup();
  }
}

void Proxy::AbortIdleTransactions(Instant now) {
  if (!this->context.configuration) {
    return;
  }
  const auto bound = this->context.configuration->transaction_idle;
  for (const auto& session : this->sessions) {
    if (session->IsIdleInTransaction() && session->TransactionConnection() &&
        now >= session->LastActivity() + bound) {
      session->AbortTransaction("the transaction exceeded the idle time-out");
    }
  }
}

void Proxy::OnLeaderRow(const promotion::LeaderRecord* record,
                        std::uint64_t version, std::int64_t store_now_ms) {
  this->leadership.OnLeaderRow(record, version, store_now_ms);
  // A restored store may lack a newer ring.
  if (record != nullptr && record->store_era == model::EraOf(version)) {
    this->operations.Follow(record->delegates, this->store.FleetCalledAt(),
                            "store");
  }
}

void Proxy::OnDirectoryChanged() {
  this->ContinueStartups();
  for (const auto& [name, pool] : this->pools) {
    pool->OnDirectoryChanged();
  }
  if (this->leadership.IsLeader()) {
    this->exchange.Announce();
  }
}

ConnectionBudget::Handlers Proxy::BudgetHandlers() {
  return {
      [this]() -> const ConnectionBudget::Vms& { return this->store.Vms(); },
      [this](const std::string& endpoint_id) {
        const auto endpoint = this->context.endpoints.find(endpoint_id);
        return endpoint == this->context.endpoints.end()
                   ? routing::ConnectionDemand()
                   : this->FindPool(endpoint->second.service)
                         .Demand(endpoint_id);
      },
      [this](const std::string& endpoint_id, Instant expected_at) {
        const auto endpoint = this->context.endpoints.find(endpoint_id);
        if (endpoint != this->context.endpoints.end()) {
          this->FindPool(endpoint->second.service)
              .OnConnectionsAnswered(endpoint_id, expected_at);
        }
      }};
}

std::function<ServicePool&(const std::string&)> Proxy::PoolFinder() {
  return [this](const std::string& service) -> ServicePool& {
    return this->FindPool(service);
  };
}

ServicePool& Proxy::FindPool(const std::string& service) {
  std::unique_ptr<ServicePool>& pool = this->pools[service];
  if (!pool) {
    pool = std::make_unique<ServicePool>(this->context, service);
  }
  return *pool;
}

}  // namespace laburnumkeel::proxy
