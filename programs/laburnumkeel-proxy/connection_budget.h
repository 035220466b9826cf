#ifndef LABURNUMKEEL_PROGRAMS_PROXY_CONNECTION_BUDGET_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_CONNECTION_BUDGET_H_

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/routing/connection_allowance.h"
#include "laburnumkeel/routing/connection_ledger.h"
#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "programs/laburnumkeel-proxy/peer_socket.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// Shares the connections that an endpoint accepts between the VMs of the fleet,
// when there are too few for every VM to have some of its own. For each
// endpoint one VM, the lender, keeps a ledger of who holds how many, and the
// others ask it before they open a connection. Sends and receives these
// messages; ConnectionLedger and ConnectionAllowance decide.
class ConnectionBudget {
 public:
  using Vms = std::map<std::string, VmRow>;

  struct Handlers {
    // The registered VMs by name.
    std::function<const Vms&()> vms;
    // What this VM holds and needs; zeros for an endpoint that has left.
    std::function<routing::ConnectionDemand(const std::string& endpoint_id)>
        demand;
    // A lender has answered.
    std::function<void(const std::string& endpoint_id,
                       kernel::Instant expected_at)>
        on_answer;
  };

  // Adds itself to the receivers of `socket`.
  ConnectionBudget(ProxyContext& context, PeerSocket& socket,
                   Handlers handlers);

  // True when a lender has to be asked before a connection to an endpoint of
  // the service is opened. `minimum` is the number of connections that each VM
  // may open otherwise, whatever its share of the limit is.
  bool IsShared(const std::string& service, double minimum) const;

  // True when this VM, which holds `held` connections, may open another one.
  bool MayOpen(const std::string& endpoint_id, int held);
  std::chrono::milliseconds IdleTime(const std::string& endpoint_id) const;
  // The endpoint refused a connection over its limit.
  void OnRefused(const std::string& endpoint_id);

  // Reports to the lender once the present handler has ended, if necessary.
  void OnDemandChanged(const std::string& endpoint_id);

  // Repeats reports that are due.
  void Tick();

 private:
  // A VM that has no connections and waits for none forgets the endpoint after
  // this time. Longer than a lender keeps the sequence of a report.
  static constexpr std::chrono::seconds kAllowanceRetention{10};
  static constexpr std::chrono::milliseconds kLedgerTick{10};
  static constexpr std::chrono::milliseconds kLenderRefresh{1000};

  struct Entry {
    routing::ConnectionAllowance allowance;
    std::vector<std::string> lenders;
    kernel::Instant lenders_chosen_at;
    kernel::Instant used_at;
  };

  double VmCount() const;
  Entry& Find(const std::string& endpoint_id);
  void RefreshLenders(const std::string& endpoint_id, Entry& entry);
  void ReportChanged();
  void Report(const std::string& endpoint_id, Entry& entry);
  bool OnDatagram(std::string_view bytes,
                  const boost::asio::ip::udp::endpoint& sender);
  void OnReport(const routing::ConnectionReport& report);
  void OnAnswer(const routing::ConnectionAnswer& answer);
  void SendAnswers(
      const std::map<std::string, routing::ConnectionAnswer>& answers);
  // Null when the endpoint is not known here.
  routing::ConnectionLedger* FindLedger(const std::string& endpoint_id);
  void ScheduleLedgers();
  void TickLedgers();

  ProxyContext& context;
  PeerSocket& socket;
  const Handlers handlers;
  std::map<std::string, Entry> entries;
  std::set<std::string> changed;
  bool is_reporting = false;
  std::map<std::string, routing::ConnectionLedger> ledgers;
  // Where the answers to each VM's reports are sent.
  std::map<std::string, boost::asio::ip::udp::endpoint> reporters;
  boost::asio::steady_timer ledger_timer;
  bool is_ledger_timer_set = false;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_CONNECTION_BUDGET_H_
