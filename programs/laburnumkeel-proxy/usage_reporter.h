#ifndef LABURNUMKEEL_PROGRAMS_PROXY_USAGE_REPORTER_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_USAGE_REPORTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

#include "laburnumkeel/peer/fleet_message.h"
#include "laburnumkeel/usage/usage_collector.h"
#include "laburnumkeel/usage/window_settler.h"
#include "programs/laburnumkeel-proxy/leadership.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/store_link.h"
#include "programs/laburnumkeel-proxy/usage_counter.h"

namespace laburnumkeel::proxy {

// Reports the usage of each window to the platform while this VM is the leader:
// collects the counts of all VMs, settles a window in the store, and then sends
// what was settled until the platform acknowledges it. The decisions are in
// laburnumkeel::usage.
class UsageReporter {
 public:
  UsageReporter(ProxyContext& context, StoreLink& store, Leadership& leadership,
                UsageCounter& counter);

  // A VM reported to this VM, which is the leader with that token.
  void OnReport(const peer::FleetReport& report);

  // Adds what VMs need to know to the answer to a complete report.
  void AddTo(peer::FleetResponse& response);

  void Tick(kernel::Instant now);

  // JSON for operators: who reports, and the newest windows.
  std::string Describe(kernel::Instant now) const;

 private:
  // A window that this VM has settled or reported.
  struct WindowLine {
    usage::WindowNumber window = 0;
    std::size_t accounts = 0;
    std::uint64_t total = 0;
    std::string outcome;
  };

  void OnLeadershipChanged();
  void Read(kernel::Instant now);
  void OnRowsRead(const std::optional<platform_adapter::StoreRows>& rows,
                  std::uint64_t token);
  void Settle(kernel::Instant now);
  void Write();
  void OnWriteEnded(const StoreLink::WriteOutcome& outcome,
                    std::uint64_t token);
  void OnSettled(usage::WindowNumber window);
  // The windows are not reported.
  void OnMissed(usage::WindowNumber first, usage::WindowNumber last,
                const std::string& reason);
  void Send(kernel::Instant now);
  void OnSent(usage::WindowNumber window, const transport::HttpAnswer& answer,
              std::uint64_t token);
  // Ends the reporting of a window.
  void Finish(usage::WindowNumber window, const std::string& outcome);
  // True when every VM that may still report has reported since the window
  // ended.
  bool AreAllHeard(usage::WindowNumber window, kernel::Instant now);
  // When the window ended, by this VM's clock.
  kernel::Instant EndOf(usage::WindowNumber window, kernel::Instant now);
  std::int64_t AgeMs(usage::WindowNumber window);
  void Remember(const WindowLine& line);

  ProxyContext& context;
  StoreLink& store;
  Leadership& leadership;
  UsageCounter& counter;
  usage::UsageCollector collector;
  usage::WindowSettler settler;
  // Token of the lease under which the state below was made; 0 without one.
  std::uint64_t token = 0;
  // Window in which this VM acquired the lease.
  usage::WindowNumber acquired_in = 0;
  // Newest window that VMs know to be settled.
  usage::WindowNumber known_settled;
  // Accounts that any configuration of this process has named.
  std::set<std::string> known_accounts;
  std::int64_t accounts_version = 0;
  // Version of the row, and the store's era when it was read.
  std::uint64_t row_version = 0;
  std::uint64_t row_era = 0;
  bool is_read_due = false;
  bool is_reading = false;
  bool is_writing = false;
  kernel::Instant read_retry_at;
  kernel::Instant send_retry_at;
  kernel::Instant elected_at;
  // Calls for the window that is sent at present.
  usage::WindowNumber sent_window = 0;
  int attempts = 0;
  int refusals = 0;
  // VMs heard and missing when the newest window was settled.
  std::size_t vms_heard = 0;
  std::size_t vms_missing = 0;
  std::deque<WindowLine> lines;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_USAGE_REPORTER_H_
