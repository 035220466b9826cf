#include "laburnumkeel/routing/connection_allowance.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::routing {

using kernel::Instant;
using std::chrono::milliseconds;

int ConnectionAllowance::Allowed(Instant now) const {
  const int granted = now < this->confirmed_at + kLifetime ? this->allowed : 0;
  const bool is_floor_used =
      !this->is_answered && now >= this->unanswered_since + kFloorDelay;
  return is_floor_used ? std::max(granted, this->floor) : granted;
}

bool ConnectionAllowance::MayOpen(int held, Instant now) const {
  // After a refusal the lender is asked again.
  return !this->was_refused && held < this->Allowed(now);
}

milliseconds ConnectionAllowance::IdleTime(Instant now) const {
  return now < this->confirmed_at + kLifetime ? this->idle_time
                                              : milliseconds(0);
}

bool ConnectionAllowance::IsUnused() const {
  return this->is_answered && this->reported.held == 0 &&
         this->reported.wanted == 0 && this->allowed == 0;
}

bool ConnectionAllowance::IsReportDue(const ConnectionDemand& demand,
                                      Instant now) const {
  if (!this->is_answered) {
    // One report at a time. What has changed meanwhile is reported after the
    // answer, except that a right which is not needed goes back at once.
    const bool is_over =
        demand.wanted == 0 &&
        demand.held < this->reported.held + this->reported.wanted;
    return is_over || now >= this->reported_at + kAnswerTimeout;
  }
  if (this->was_refused) {
    return true;
  }
  const int missing = demand.held + demand.wanted - this->Allowed(now);
  const int still_waiting =
      this->reported.held + this->reported.wanted - this->Allowed(now);
  if (missing > 0) {
    return missing > still_waiting ||
           demand.priority < this->reported.priority ||
           demand.held < this->reported.held ||
           now >= this->reported_at + kWaitingReportPeriod;
  }
  if (demand.held + demand.wanted < this->allowed ||
      (still_waiting > 0 && demand.wanted == 0)) {
    return true;
  }
  return demand.held > 0 &&
         now >= this->reported_at + ConnectionLedger::kReportPeriod;
}

void ConnectionAllowance::ChooseLender(Instant now) {
  if (!this->is_answered && now >= this->reported_at + kAnswerTimeout) {
    this->lender = (this->lender + 1) % kLenders;
    this->lender_changed_at = now;
  } else if (this->lender != 0 &&
             now >= this->lender_changed_at + kLenderRetryPeriod) {
    this->lender = 0;
    this->lender_changed_at = now;
  }
}

std::optional<ConnectionReport> ConnectionAllowance::NextReport(
    const ConnectionDemand& demand, Instant now) {
  if (!this->IsReportDue(demand, now)) {
    return std::nullopt;
  }
  this->ChooseLender(now);
  this->reported = demand;
  this->reported_at = now;
  if (std::exchange(this->is_answered, false)) {
    this->unanswered_since = now;
  }
  ConnectionReport report;
  report.sequence = ++this->sequence;
  report.held = demand.held;
  report.wanted = demand.wanted;
  report.priority = demand.priority;
  report.time_left = demand.time_left;
  report.was_refused = std::exchange(this->was_refused, false);
  // The lender grants anew from this report on.
  this->allowed = demand.held;
  return report;
}

bool ConnectionAllowance::OnAnswer(const ConnectionAnswer& answer,
                                   Instant now) {
  if (answer.sequence != this->sequence) {
    return false;
  }
  this->is_answered = true;
  // The answers to one report may arrive in another order; later ones only
  // grant more.
  this->allowed = std::max(this->allowed, answer.allowed);
  this->confirmed_at = this->reported_at;
  this->idle_time = answer.idle_time;
  this->expected_at = answer.expected_wait > milliseconds(0)
                          ? now + answer.expected_wait
                          : Instant();
  return true;
}

}  // namespace laburnumkeel::routing
