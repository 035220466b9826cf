#ifndef LABURNUMKEEL_ROUTING_CONNECTION_ALLOWANCE_H_
#define LABURNUMKEEL_ROUTING_CONNECTION_ALLOWANCE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/routing/connection_ledger.h"

namespace laburnumkeel::routing {

// What this VM holds and needs of the connections to one endpoint.
struct ConnectionDemand {
  int held = 0;
  int wanted = 0;
  int priority = 0;
  std::chrono::milliseconds time_left{0};

  bool operator==(const ConnectionDemand&) const = default;
};

// This VM's right to connections to one endpoint, and when to report to which
// lender.
//
// Load pattern: as of ConnectionLedger, while the lender is killed, frozen or
// cut off, or answers are lost. Only the answer to the newest report counts, so
// that a right which the VM has reported as given up never comes back with an
// answer that was on its way. The right ends before the lender gives it to
// others.
class ConnectionAllowance {
 public:
  // A right ends this long after the report that was answered last.
  static constexpr std::chrono::milliseconds kLifetime{2000};
  static_assert(kLifetime < ConnectionLedger::kHoldingLifetime);
  // A report without an answer for this long goes to the next lender: two round
  // trips between regions.
  static constexpr std::chrono::milliseconds kAnswerTimeout{200};
  // A waiting VM repeats its report this often, as the lender's grant may be
  // lost.
  static constexpr std::chrono::milliseconds kWaitingReportPeriod{400};
  // An unresponsive lender is tried again after this time.
  static constexpr std::chrono::milliseconds kLenderRetryPeriod{5000};
  // VMs that may be asked.
  static constexpr std::size_t kLenders = 3;

  // Without an answer for this long, the VM may hold `floor` connections.
  static constexpr std::chrono::milliseconds kFloorDelay = 3 * kAnswerTimeout;

  // `first_sequence` must be higher than that of any report which this VM sent
  // before a restart within ConnectionLedger::kHoldingLifetime. `floor` is what
  // the VM may hold when no lender answers; its sum over all VMs must be well
  // below the endpoint's limit.
  ConnectionAllowance(std::int64_t first_sequence, int floor)
      : sequence(first_sequence), floor(floor) {}

  // True when a VM that holds `held` connections may open another one.
  bool MayOpen(int held, kernel::Instant now) const;
  // Connections that may be held; 0 when the right has ended.
  int Allowed(kernel::Instant now) const;

  // The report to send now to the lender with the number `Lender()` in the
  // order, without the name of the VM and the endpoint; empty when none is due.
  std::optional<ConnectionReport> NextReport(const ConnectionDemand& demand,
                                             kernel::Instant now);
  std::size_t Lender() const { return this->lender; }

  // False when the answer is not to the newest report.
  bool OnAnswer(const ConnectionAnswer& answer, kernel::Instant now);
  // The endpoint refused a connection over its limit.
  void OnRefused() { this->was_refused = true; }

  // When a further connection can be expected; in the past when at once or not
  // known.
  kernel::Instant ExpectedAt() const { return this->expected_at; }
  // Time for which a connection may be kept idle.
  std::chrono::milliseconds IdleTime(kernel::Instant now) const;
  // True when nothing has to be reported any more.
  bool IsUnused() const;

 private:
  bool IsReportDue(const ConnectionDemand& demand, kernel::Instant now) const;
  void ChooseLender(kernel::Instant now);

  std::int64_t sequence;
  int floor;
  ConnectionDemand reported;
  kernel::Instant reported_at;
  bool is_answered = true;
  // The first report that was not answered since the last answer.
  kernel::Instant unanswered_since;
  int allowed = 0;
  // When the report that was answered last was sent.
  kernel::Instant confirmed_at;
  kernel::Instant expected_at;
  std::chrono::milliseconds idle_time{0};
  bool was_refused = false;
  std::size_t lender = 0;
  kernel::Instant lender_changed_at;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_CONNECTION_ALLOWANCE_H_
