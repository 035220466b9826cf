#ifndef LABURNUMKEEL_PROGRAMS_PROXY_PROXY_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_PROXY_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "laburnumkeel/transport/http_responder.h"
#include "programs/laburnumkeel-proxy/account_gate.h"
#include "programs/laburnumkeel-proxy/client_session.h"
#include "programs/laburnumkeel-proxy/failover_manager.h"
#include "programs/laburnumkeel-proxy/fleet_exchange.h"
#include "programs/laburnumkeel-proxy/operation_exchange.h"
#include "programs/laburnumkeel-proxy/peer_socket.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/service_pool.h"
#include "programs/laburnumkeel-proxy/store_link.h"

namespace laburnumkeel::proxy {

// The proxy program: owns all components, accepts client connections and runs
// the event loop.
class Proxy {
 public:
  Proxy(platform_adapter::ProxySettings settings, std::string settings_path);

  // Serves clients until SIGTERM or SIGINT. Returns the exit code.
  int Run();

 private:
  // Runs handlers until the loop is stopped. An exception of one handler does
  // not end the program.
  void RunLoop();
  bool Listen();
  void Accept();
  void WaitForSignal();
  void Reload();
  void ReloadIfChanged(kernel::Instant now);
  // When the settings file was last written; the earliest time when it cannot
  // be read.
  std::filesystem::file_time_type SettingsWriteTime() const;
  void BeginStop();
  void ContinueStop(const membership::StopSchedule& stop, kernel::Instant now);
  void EndSessionsAtWork();
  void ScheduleTick();
  void Tick();
  void OnDirectoryChanged();
  void OnLeaderRow(const promotion::LeaderRecord* record, std::uint64_t version,
                   std::int64_t store_now_ms);
  ServicePool& FindPool(const std::string& service);
  // FindPool as a function object for other components.
  std::function<ServicePool&(const std::string&)> PoolFinder();
  bool IsReady() const;
  // True when neither the store nor the leader has answered for
  // kIsolationTimeout. Other VMs then serve clients better.
  bool IsIsolated(kernel::Instant now) const;
  void CloseSessionsWhenIsolated(kernel::Instant now);
  void CloseIdleSessions(std::size_t max_count);
  // Ends sessions that satisfy `may_close`, so that their clients move to
  // another VM.
  void CloseSessions(std::size_t max_count,
                     bool (ClientSession::*may_close)() const);
  void AbortIdleTransactions(kernel::Instant now);
  // Sessions whose clients arrived before the configuration.
  void ContinueStartups();
  transport::HttpAnswer HandleProbe(const std::string& target);

  ProxyContext context;
  const std::string settings_path;
  std::map<std::string, std::unique_ptr<ServicePool>> pools;
  StoreLink store;
  FailoverManager failover_manager;
  AccountGate gate;
  PeerSocket peer_socket;
  OperationExchange operations;
  FleetExchange exchange;
  SessionEnvironment environment;
  std::set<std::shared_ptr<ClientSession>> sessions;
  boost::asio::ip::tcp::acceptor acceptor;
  transport::HttpResponder probe;
  boost::asio::signal_set signals;
  boost::asio::steady_timer tick_timer;
  // When the last session ended.
  kernel::Instant session_ended_at;
  // When the settings file was last written, and when that was last checked.
  std::filesystem::file_time_type settings_write_time;
  kernel::Instant settings_checked_at;
  // When the VM became isolated; zero while it is not.
  kernel::Instant isolated_since;
  bool was_ready = false;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_PROXY_H_
