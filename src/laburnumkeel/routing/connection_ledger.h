#ifndef LABURNUMKEEL_ROUTING_CONNECTION_LEDGER_H_
#define LABURNUMKEEL_ROUTING_CONNECTION_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// What a VM holds and needs of the connections to one endpoint. It replaces
// all that the VM reported before, so that a lost report does no harm.
struct ConnectionReport {
  std::string vm;
  std::string endpoint_id;
  // Increases with each report of a VM.
  std::int64_t sequence = 0;
  // Connections open or being opened.
  int held = 0;
  // Further connections that waiting statements need.
  int wanted = 0;
  // Of the most urgent waiting statement; 0 is the highest.
  int priority = 0;
  // Until the deadline of that statement.
  std::chrono::milliseconds time_left{0};
  // The endpoint has refused a connection over its limit since the last report.
  bool was_refused = false;

  bool operator==(const ConnectionReport&) const = default;
};

// The answer to a VM's newest report.
struct ConnectionAnswer {
  std::string endpoint_id;
  // Of the report.
  std::int64_t sequence = 0;
  // Connections that the VM may hold, those that it reported included.
  int allowed = 0;
  // When the VM waits for more: expected time until it may have the next one.
  std::chrono::milliseconds expected_wait{0};
  // Time for which the VM may keep a connection idle.
  std::chrono::milliseconds idle_time{0};

  bool operator==(const ConnectionAnswer&) const = default;
};

// The lender's record of who holds how many connections to one endpoint.
//
// Load pattern: the endpoint accepts fewer connections than there are VMs (111
// for 132), and a connection serves one account, so that nearly every statement
// opens one. Without a record the VMs open up to three times the limit, and the
// endpoint resets thousands of connections while statements wait.
//
// The record is kept in memory only. A holding lapses when its VM has not
// reported for `kHoldingLifetime`; the VM itself stops to use it earlier, after
// `ConnectionAllowance::kLifetime`. A ledger that starts empty learns of all
// holdings within `kReportPeriod` and grants from a part of the limit until
// then.
class ConnectionLedger {
 public:
  // VMs with connections report at least this often.
  static constexpr std::chrono::milliseconds kReportPeriod{1000};
  static constexpr std::chrono::milliseconds kHoldingLifetime{3000};
  // Longest time for which connections are kept idle.
  static constexpr std::chrono::milliseconds kMaximumIdleTime{3000};

  ConnectionLedger(int max_connections, int slots);

  // The limits of the endpoint may change while it is in use.
  void SetLimits(int max_connections, int slots);

  // Processes a report and grants what is free to the VMs that wait, the most
  // urgent first. Returns the answers to send, by VM: one to the report, and
  // one to each other VM that was granted a connection. Empty for a report
  // older than one that was processed.
  std::map<std::string, ConnectionAnswer> OnReport(
      const ConnectionReport& report, kernel::Instant now);

  // Grants what has become free by the passing of time. As above.
  std::map<std::string, ConnectionAnswer> Tick(kernel::Instant now);

  // Connections that are held or granted, and those that the endpoint counted
  // beyond these.
  double Used(kernel::Instant now) const;
  int WaitingVms() const;
  // False once every VM's holding has lapsed.
  bool IsEmpty() const { return this->holdings.empty(); }

 private:
  struct Holding {
    std::int64_t sequence = 0;
    int held = 0;
    // At least `held`.
    int allowed = 0;
    int wanted = 0;
    int priority = 0;
    kernel::Instant waiting_since;
    kernel::Instant deadline;
    kernel::Instant reported_at;
  };

  void RemoveLapsed(kernel::Instant now);
  void GrantFree(std::map<std::string, ConnectionAnswer>& answers,
                 kernel::Instant now);
  // The VM that receives the next free connection; null when none waits.
  std::pair<const std::string, Holding>* MostUrgent(kernel::Instant now);
  // Forgets `ended` of the connections in progress, the earliest first, and
  // those whose time is over.
  void EndProgress(int ended, kernel::Instant now);
  double Capacity(kernel::Instant now) const;
  ConnectionAnswer MakeAnswer(const std::string& vm, const Holding& holding,
                              kernel::Instant now) const;
  // Connections that the endpoint counts but no VM has reported.
  double Unreported(kernel::Instant now) const;

  int max_connections;
  int slots;
  std::map<std::string, Holding> holdings;
  std::string endpoint_id;
  // When the connections were granted that may still be opening or running
  // their first statement.
  std::deque<kernel::Instant> in_progress;
  // When the first report arrived at the empty ledger.
  kernel::Instant started;
  double unreported = 0;
  kernel::Instant unreported_since;
  // Smoothed time between two grants while VMs wait.
  double grant_interval_ms = 20;
  kernel::Instant last_grant;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_CONNECTION_LEDGER_H_
