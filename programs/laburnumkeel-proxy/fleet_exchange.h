#ifndef LABURNUMKEEL_PROGRAMS_PROXY_FLEET_EXCHANGE_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_FLEET_EXCHANGE_H_

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "laburnumkeel/limits/delegate_planner.h"
#include "laburnumkeel/limits/rate_coordinator.h"
#include "laburnumkeel/peer/fleet_message.h"
#include "laburnumkeel/peer/report_pacing.h"
#include "programs/laburnumkeel-proxy/account_gate.h"
#include "programs/laburnumkeel-proxy/failover_manager.h"
#include "programs/laburnumkeel-proxy/operation_exchange.h"
#include "programs/laburnumkeel-proxy/peer_socket.h"
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
  // Adds itself to the receivers of `socket`.
  FleetExchange(ProxyContext& context, StoreLink& store,
                FailoverManager& failover_manager, AccountGate& gate,
                OperationExchange& operations, PeerSocket& socket,
                std::function<ServicePool&(const std::string&)> find_pool);

  // Begins to send reports.
  void Start();

  // Sends a report without waiting for the end of the report period.
  void ReportSoon();

  // Sends every VM that has reported an announcement, upon which it reports
  // soon and so learns what changed.
  void Announce();

  // Tells all VMs that this VM has given up the leader lease, so that another
  // one acquires it without waiting until the reports go unanswered.
  void AnnounceRelease();

  // Tells the leader that this VM stops and uses none of its shares any more.
  void ReportLeaving();

  // Tells all VMs of the fleet when this VM has become the leader.
  void Tick(kernel::Instant now);

 private:
  static constexpr std::chrono::milliseconds kReportPeriod{500};

  // The VM to which reports are sent.
  struct Leader {
    std::uint64_t token = 0;
    std::string vm;
    std::string address;
  };
  struct ReceivedReport {
    peer::FleetReport report;
    boost::asio::ip::udp::endpoint sender;
    // Order of arrival.
    std::uint64_t number = 0;
  };

  bool OnDatagram(std::string_view bytes,
                  const boost::asio::ip::udp::endpoint& sender);
  // Answers the newest report of each VM: first those of waiting operations,
  // the freshest first, as the oldest have waited too long. While the leader is
  // short of processor time, reports that their VM has repeated since are not
  // answered.
  void AnswerReports();
  void OnReport(const ReceivedReport& received);
  // Notes on the leader which commits clients of another VM were told of.
  void ObserveCommitted(const peer::FleetReport& report);
  void OnAnnouncement(const peer::FleetResponse& announcement);
  Leader CurrentLeader() const;
  void OnResponse(const peer::FleetResponse& response);
  void Apply(const peer::FleetResponse& response, kernel::Instant sent);
  peer::FleetResponse MakeResponse(const peer::FleetReport& report);
  // A full report once in each period, partial reports in between.
  peer::FleetReport MakeReport(kernel::Instant now);
  void Report();
  void Schedule(std::chrono::milliseconds delay);
  // Brings the coordinator up to date with the leader lease. Returns false when
  // this VM cannot answer reports.
  bool PrepareCoordinator(kernel::Instant now);
  FailoverManager::Handover MakeHandover();
  limits::DelegatePlanner::Candidates DelegateCandidates() const;

  ProxyContext& context;
  StoreLink& store;
  FailoverManager& failover_manager;
  AccountGate& gate;
  OperationExchange& operations;
  const std::function<ServicePool&(const std::string&)> find_pool;
  limits::RateCoordinator coordinator;
  limits::DelegatePlanner planner;
  // Once delegates may hold limits, they do for the rest of the term.
  bool is_delegating = false;
  // Data centre of each VM that has reported and can act as a delegate.
  std::map<std::string, std::string> delegate_data_centres;
  // Token of the leader lease for which the coordinator was last reset.
  std::uint64_t coordinated_token = 0;
  // Version of the row of the leader lease that the coordinator last received.
  std::uint64_t published_version = 0;
  PeerSocket& socket;
  boost::asio::steady_timer timer;
  // The newest report of each VM that is not answered yet, full and partial
  // ones apart.
  std::map<std::pair<std::string, bool>, ReceivedReport> pending_reports;
  std::uint64_t received_reports = 0;
  peer::ReportPacing pacing;
  // The leader that announced itself last. The row of the leader lease is used
  // instead when that is newer.
  Leader announced_leader;
  // Token under which this VM announced itself to the fleet.
  std::uint64_t announced_token = 0;
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
