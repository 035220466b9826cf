#include "programs/laburnumkeel-proxy/proxy.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/transport/socket_address.h"
#include "platform/promotion_call.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using kernel::LogEvent;
using std::chrono::milliseconds;

namespace {

// Resolution of statement timeouts while statements are under way.
constexpr milliseconds kBusyTick{25};
constexpr milliseconds kIdleTick{100};
// After a restart of the whole fleet all clients connect at once.
constexpr int kListenBacklog = 1024;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusNotFound = 404;
// The balancer stops sending clients after two failed probes of one second
// each; idle sessions are ended evenly over this time afterwards.
constexpr milliseconds kBalancerDelay{2200};
constexpr milliseconds kIdleSessionSpread{1500};
// Strict and bounded reads end with the last read lease, 1.5 s after the last
// answer of the holder or the store.
constexpr milliseconds kIsolation{2000};
// Part of the idle sessions of an isolated VM that is ended in each tick.
constexpr std::size_t kIsolatedParts = 30;
// The settings file may change without a signal; operators expect it to be in
// force within a few seconds.
constexpr std::chrono::seconds kSettingsCheck{1};
constexpr auto kNoFile = std::filesystem::file_time_type::min();
// The program ends this long before it would be killed.
constexpr milliseconds kStopMargin{800};

}  // namespace

Proxy::Proxy(platform_adapter::ProxySettings settings,
             std::string settings_path)
    : context(std::move(settings)),
      settings_path(std::move(settings_path)),
      store(this->context,
            {[this] { this->OnDirectoryChanged(); },
             [this](const promotion::LeaderRecord* record,
                    std::uint64_t version, std::int64_t store_now_ms) {
               this->failover_manager.OnLeaderRow(record, version,
                                                  store_now_ms);
             }}),
      failover_manager(this->context, this->store, this->PoolFinder(),
                       [this] { this->exchange.Announce(); }),
      gate(this->context, [this] { this->exchange.ReportSoon(); }),
      exchange(this->context, this->store, this->failover_manager, this->gate,
               this->PoolFinder()),
      environment{this->context, this->PoolFinder(), this->gate},
      acceptor(this->context.loop),
      probe(this->context.loop,
            [this](const std::string& target) {
              return this->AnswerProbe(target);
            }),
      signals(this->context.loop, SIGTERM, SIGINT, SIGHUP),
      tick_timer(this->context.loop) {
  this->settings_written = this->SettingsWritten();
}

int Proxy::Run() {
  if (!this->Listen()) {
    return 1;
  }
  this->WaitForSignal();
  this->store.Tick(this->context.clock.Now(), false);
  this->ScheduleTick();
  this->context.loop.run();
  LogEvent(kProxyStopped, {{"vm", this->context.settings.vm}});
  return 0;
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
    this->acceptor.bind(*endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(kListenBacklog, error);
  }
  if (error || !this->probe.Listen(this->context.settings.readiness_address) ||
      !this->exchange.Listen()) {
    LogEvent(kSettingsInvalid,
             {{"reason", "an address cannot be used"},
              {"client_address", this->context.settings.client_address},
              {"error", error.message()}});
    return false;
  }
  this->Accept();
  return true;
}

void Proxy::Accept() {
  this->acceptor.async_accept([this](boost::system::error_code error,
                                     boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      auto session = std::make_shared<ClientSession>(
          this->environment, std::move(socket), [this](ClientSession& ended) {
            this->sessions.erase(ended.shared_from_this());
          });
      this->sessions.insert(session);
      session->Start();
    }
    this->Accept();
  });
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
  if (now < this->settings_checked + kSettingsCheck) {
    return;
  }
  this->settings_checked = now;
  const auto written = this->SettingsWritten();
  // A file that is being replaced is looked at again in the next round.
  if (written != kNoFile && written != this->settings_written) {
    this->Reload();
  }
}

std::filesystem::file_time_type Proxy::SettingsWritten() const {
  std::error_code error;
  const auto written =
      std::filesystem::last_write_time(this->settings_path, error);
  return error ? kNoFile : written;
}

void Proxy::Reload() {
  this->settings_written = this->SettingsWritten();
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
  this->context.settings = std::move(*result.settings);
}

bool Proxy::IsReady() const {
  if (this->context.is_stopping || !this->store.IsComplete()) {
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
             kIsolation;
}

void Proxy::EndIdleSessions(Instant now) {
  // A VM that has just started has not heard anybody yet.
  if (!this->was_ready || !this->IsIsolated(now)) {
    this->isolated_since = Instant();
    return;
  }
  if (this->isolated_since == Instant()) {
    this->isolated_since = now;
    LogEvent(kProxyIsolated, {{"sessions", this->sessions.size()}});
  }
  if (now < this->isolated_since + kBalancerDelay) {
    return;
  }
  this->DismissIdleSessions(this->sessions.size() / kIsolatedParts + 1);
}

void Proxy::DismissIdleSessions(std::size_t most) {
  std::vector<std::shared_ptr<ClientSession>> idle;
  for (const auto& session : this->sessions) {
    if (idle.size() < most && session->IsIdle()) {
      idle.push_back(session);
    }
  }
  // A session that ends leaves the set.
  for (const auto& session : idle) {
    session->Dismiss();
  }
}

transport::HttpAnswer Proxy::AnswerProbe(const std::string& target) {
  if (target == platform_adapter::kReadinessTarget) {
    return {this->IsReady() ? transport::HttpAnswer::kOk : kStatusUnavailable,
            ""};
  }
  if (target == "/metrics") {
    return {transport::HttpAnswer::kOk, this->context.metrics.Text()};
  }
  return {kStatusNotFound, ""};
}

void Proxy::BeginStop() {
  if (std::exchange(this->context.is_stopping, true)) {
    return;
  }
  this->stop_started = this->context.clock.Now();
  LogEvent(kProxyStopping, {{"sessions", this->sessions.size()}});
  this->failover_manager.Release([] {});
}

void Proxy::ContinueStop(Instant now) {
  const auto elapsed = now - this->stop_started;
  const milliseconds grace = this->context.settings.grace_period;
  if (elapsed >= grace - kStopMargin) {
    this->context.loop.stop();
    return;
  }
  if (elapsed >= grace / 2) {
    for (const auto& session : this->sessions) {
      if (session->IsIdleInTransaction()) {
        session->AbortTransaction("the VM stops");
      }
    }
  }
  if (elapsed < kBalancerDelay) {
    return;
  }
  if (this->sessions.empty()) {
    this->context.loop.stop();
    return;
  }
  const auto remaining_ticks = std::max<std::int64_t>(
      1, (kBalancerDelay + kIdleSessionSpread - elapsed) / kBusyTick);
  this->DismissIdleSessions(
      this->sessions.size() / static_cast<std::size_t>(remaining_ticks) + 1);
}

void Proxy::ScheduleTick() {
  bool has_work = this->context.is_stopping;
  for (const auto& [name, pool] : this->pools) {
    has_work |= pool->HasWork();
  }
  this->tick_timer.expires_after(has_work ? kBusyTick : kIdleTick);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick();
      this->ScheduleTick();
    }
  });
}

void Proxy::Tick() {
  const Instant now = this->context.clock.Now();
  for (const auto& [name, pool] : this->pools) {
    pool->Tick(now);
  }
  this->failover_manager.Tick(now);
  this->store.Tick(now, this->failover_manager.IsHeld());
  this->gate.Tick(now);
  this->EndIdleTransactions(now);
  this->EndIdleSessions(now);
  this->ReloadIfChanged(now);
  if (this->context.is_stopping) {
    this->ContinueStop(now);
  }
  if (this->IsReady() && !std::exchange(this->was_ready, true)) {
    LogEvent(kProxyReady, {{"vm", this->context.settings.vm},
                           {"version", this->context.configuration->version},
                           {"endpoints", this->context.endpoints.size()}});
  }
}

void Proxy::EndIdleTransactions(Instant now) {
  if (!this->context.configuration) {
    return;
  }
  const auto bound = this->context.configuration->transaction_idle;
  for (const auto& session : this->sessions) {
    if (session->IsIdleInTransaction() && session->TransactionConnection() &&
        now >= session->LastActivity() + bound) {
      session->AbortTransaction("the transaction was idle");
    }
  }
}

void Proxy::OnDirectoryChanged() {
  for (const auto& [name, pool] : this->pools) {
    pool->OnDirectoryChanged();
  }
  if (this->failover_manager.IsHeld()) {
    this->exchange.Announce();
  }
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
