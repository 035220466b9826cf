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

// Reports this VM's demand to the leader, and applies its answers:
// read leases of the primaries, log positions, shares of the accounts' limits,
// and which rows of the store have changed. On the holder's VM it answers the
// others. One small datagram each way replaces several calls of the store.
class FleetExchange {
 public:
  FleetExchange(ProxyContext& context, StoreLink& store,
                FailoverManager& failover_manager, AccountGate& gate,
                std::function<ServicePool&(const std::string&)> find_pool);

  // False when the address cannot be used.
  bool Listen();

  // Reports without waiting for the period to end.
  void ReportSoon();

  // Tells all VMs that something changed.
  void Announce();

 private:
  static constexpr std::chrono::milliseconds kReportPeriod{500};
  // Reports that wait for an operation's grant are at least this far apart.
  static constexpr std::chrono::milliseconds kMinimumPeriod{30};
  static constexpr std::size_t kMaximumDatagram = 65507;

  void Receive();
  void OnDatagram(std::string_view bytes);
  void OnReport(const peer::FleetReport& report);
  void OnAnswer(const peer::FleetResponse& answer);
  void Apply(const peer::FleetResponse& answer, kernel::Instant sent);
  peer::FleetResponse Answer(const peer::FleetReport& report);
  // Complete once in a period, brief in between.
  peer::FleetReport MakeReport(kernel::Instant now);
  void Report();
  void Schedule(std::chrono::milliseconds delay);
  void Send(const std::string& bytes,
            const boost::asio::ip::udp::endpoint& target);
  bool CanAnswer(kernel::Instant now);
  FailoverManager::Handover MakeHandover();

  ProxyContext& context;
  StoreLink& store;
  FailoverManager& failover_manager;
  AccountGate& gate;
  const std::function<ServicePool&(const std::string&)> find_pool;
  limits::RateCoordinator coordinator;
  std::uint64_t coordinated_token = 0;
  // Version of the leader lease's row that the coordinator was last told of.
  std::uint64_t published_version = 0;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, kMaximumDatagram> buffer;
  std::int64_t sequence = 0;
  std::int64_t applied_sequence = 0;
  std::map<std::int64_t, kernel::Instant> in_flight;
  kernel::Instant last_report;
  kernel::Instant last_complete_report;
  bool is_report_due = false;
  std::map<std::string, boost::asio::ip::udp::endpoint> reporters;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_FLEET_EXCHANGE_H_
