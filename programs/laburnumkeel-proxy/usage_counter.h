#ifndef LABURNUMKEEL_PROGRAMS_PROXY_USAGE_COUNTER_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_USAGE_COUNTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laburnumkeel/peer/fleet_message.h"
#include "laburnumkeel/usage/fleet_time.h"
#include "laburnumkeel/usage/usage_ledger.h"
#include "laburnumkeel/usage/window_clock.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// Counts on each VM the statements that databases began to run, in windows of
// true time, and puts the counts into the VM's reports until the leader has
// confirmed them. Does nothing where the platform wants no usage.
class UsageCounter {
 public:
  explicit UsageCounter(ProxyContext& context);

  bool IsEnabled() const { return this->is_enabled; }

  // Adds the counts that the leader with the fencing token `token` has not
  // confirmed to a complete report.
  void AddTo(peer::FleetReport& report, std::uint64_t token);

  // Processes the leader's answer to a report that was sent at `sent`.
  void OnResponse(const peer::FleetResponse& response, kernel::Instant sent);

  // True when the last leader that answered has all counts.
  bool IsDelivered() const;

  // Keeps counts of processes that may never report them again.
  void Adopt(const std::vector<usage::UsagePart>& parts) {
    this->ledger.Adopt(parts);
  }

  // True time.
  usage::UnixMilliseconds Now();
  usage::FleetTime& Time() { return this->time; }
  const usage::WindowClock& Windows() const { return this->windows; }

  // This process in counts.
  const usage::UsageSource& Source() const { return this->source; }

  // The newest window that this VM knows to be settled.
  usage::WindowNumber SettledThrough() const {
    return this->ledger.SettledThrough();
  }

 private:
  void OnRun(const std::string& account, kernel::Instant began);

  ProxyContext& context;
  const bool is_enabled;
  const usage::UsageSource source;
  const usage::WindowClock windows;
  usage::FleetTime time;
  usage::UsageLedger ledger;
  // The leader's token, and the last change that it has confirmed.
  std::uint64_t token = 0;
  std::uint64_t confirmed = 0;
  // The last change in each report that awaits an answer, by sequence.
  std::map<std::int64_t, std::uint64_t> reported;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_USAGE_COUNTER_H_
