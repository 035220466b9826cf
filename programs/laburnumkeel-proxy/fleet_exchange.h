#ifndef LABURNUMKEEL_PROGRAMS_PROXY_FLEET_EXCHANGE_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_FLEET_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "laburnumkeel/limits/rate_coordinator.h"
#include "laburnumkeel/peer/fleet_message.h"
#include "programs/laburnumkeel-proxy/account_gate.h"
#include "programs/laburnumkeel-proxy/failover_manager.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/service_pool.h"
#include "programs/laburnumkeel-proxy/store_link.h"

namespace laburnumkeel::proxy {

// Reports this VM's demand to the leader and applies the leader's answers: read
// leases of the primaries, log positions, shares of the accounts' limits, and
// the newest versions of the store's tables. On the leader it answers the
// reports of the other VMs. One small datagram in each direction replaces
// several calls to the store.
class FleetExchange {
 public:
  FleetExchange(ProxyContext& context, StoreLink& store,
                FailoverManager& failover_manager, AccountGate& gate,
                std::function<ServicePool&(const std::string&)> find_pool);

  // False when the address cannot be used.
  bool Listen();

  // Sends a report without waiting for the end of the report period.
  void ReportSoon();

  // Sends every VM that has reported an announcement, upon which it reports
  // soon and so learns what changed.
  void Announce();

 private:
  static constexpr std::chrono::milliseconds kReportPeriod{500};
  // Minimum time between reports while operations wait for a grant.
  static constexpr std::chrono::milliseconds kMinimumReportInterval{30};
  static constexpr std::size_t kMaximumDatagram = 65507;

  void Receive();
  void OnDatagram(std::string_view bytes);
  void OnReport(const peer::FleetReport& report);
  void OnResponse(const peer::FleetResponse& response);
  void Apply(const peer::FleetResponse& response, kernel::Instant sent);
  peer::FleetResponse MakeResponse(const peer::FleetReport& report);
  // A full report once in each period, partial reports in between.
  peer::FleetReport MakeReport(kernel::Instant now);
  void Report();
  void Schedule(std::chrono::milliseconds delay);
  void Send(const std::string& bytes,
            const boost::asio::ip::udp::endpoint& target);
  // Brings the coordinator up to date with the leader lease. Returns false when
  // this VM cannot answer reports.
  bool PrepareCoordinator(kernel::Instant now);
  FailoverManager::Handover MakeHandover();

  ProxyContext& context;
  StoreLink& store;
  FailoverManager& failover_manager;
  AccountGate& gate;
  const std::function<ServicePool&(const std::string&)> find_pool;
  limits::RateCoordinator coordinator;
  // Token of the leader lease for which the coordinator was last reset.
  std::uint64_t coordinated_token = 0;
  // Version of the row of the leader lease that the coordinator last received.
  std::uint64_t published_version = 0;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, kMaximumDatagram> buffer;
  std::int64_t sequence = 0;
  std::int64_t applied_sequence = 0;
  std::map<std::int64_t, kernel::Instant> in_flight;
  kernel::Instant last_report;
  kernel::Instant last_full_report;
  bool is_report_due = false;
  // Address of each VM that has reported.
  std::map<std::string, boost::asio::ip::udp::endpoint> reporters;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_FLEET_EXCHANGE_H_
