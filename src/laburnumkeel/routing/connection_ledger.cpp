#include "laburnumkeel/routing/connection_ledger.h"

#include <algorithm>
#include <cmath>

namespace laburnumkeel::routing {

using kernel::Duration;
using kernel::Instant;
using std::chrono::milliseconds;

namespace {

// Connections that the ledger does not grant: the leader queries every endpoint
// on a connection of its own, and a connection that was closed counts at the
// endpoint until the close has arrived there.
constexpr double kReservedConnections = 2;
constexpr double kReservedFraction = 0.05;
// Part of the limit that is granted before all holdings can be known.
constexpr double kInitialFraction = 0.5;
constexpr milliseconds kInitialPeriod{1300};
// A new connection and the statement on it occupy a slot each. Endpoints refuse
// what exceeds their queue of a few statements for each slot, so no more than
// this number for each slot is granted at a time.
constexpr int kInProgressPerSlot = 5;
// A connection that is not closed earlier opens and runs its first statement
// within this time, also behind a full queue.
constexpr milliseconds kProgressTime{250};
// Connections that no VM has reported are those of frozen VMs, or of VMs that
// report to another lender. Half of them are assumed to be gone after this
// time; if they are not, the endpoint refuses one in some ten grants.
constexpr milliseconds kUnreportedHalfLife{1500};
// Idle connections are kept for the longest time up to this part of the limit.
constexpr double kAmpleFraction = 0.5;
// A VM that has waited for this long is treated as one priority more urgent, so
// that nothing waits for good.
constexpr double kAgingMs = 400;
constexpr double kIntervalSmoothing = 0.1;
constexpr double kMaximumIntervalMs = 250;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

ConnectionLedger::ConnectionLedger(int max_connections, int slots)
    : max_connections(max_connections), slots(slots) {}

void ConnectionLedger::SetLimits(int new_max_connections, int new_slots) {
  this->max_connections = new_max_connections;
  this->slots = new_slots;
}

std::map<std::string, ConnectionAnswer> ConnectionLedger::OnReport(
    const ConnectionReport& report, Instant now) {
  this->RemoveLapsed(now);
  if (this->holdings.empty()) {
    // Also when this VM was frozen, and all holdings lapsed meanwhile.
    this->started = now;
  }
  this->endpoint_id = report.endpoint_id;
  const auto found = this->holdings.find(report.vm);
  if (found != this->holdings.end() &&
      report.sequence <= found->second.sequence) {
    return {};
  }
  Holding& holding = this->holdings[report.vm];
  if (holding.wanted == 0) {
    holding.waiting_since = now;
  }
  // A grant that the report does not cover is void.
  this->EndProgress(std::max(0, holding.allowed - report.held), now);
  // The VM has reported to another lender before.
  const int newly_known = std::max(0, report.held - holding.allowed);
  this->unreported = std::max(0.0, this->Unreported(now) - newly_known);
  this->unreported_since = now;
  holding.sequence = report.sequence;
  holding.held = std::max(report.held, 0);
  holding.allowed = holding.held;
  holding.wanted = std::max(report.wanted, 0);
  holding.priority = report.priority;
  holding.deadline = now + report.time_left;
  holding.reported_at = now;
  if (report.was_refused) {
    // The endpoint has as many connections as it accepts.
    const double known = this->Used(now) - this->Unreported(now);
    this->unreported =
        std::max(this->unreported, this->max_connections - known);
  }
  std::map<std::string, ConnectionAnswer> answers{{report.vm, {}}};
  this->GrantFree(answers, now);
  return answers;
}

std::map<std::string, ConnectionAnswer> ConnectionLedger::Tick(Instant now) {
  this->RemoveLapsed(now);
  std::map<std::string, ConnectionAnswer> answers;
  this->GrantFree(answers, now);
  return answers;
}

void ConnectionLedger::RemoveLapsed(Instant now) {
  std::erase_if(this->holdings, [&](const auto& entry) {
    return now >= entry.second.reported_at + kHoldingLifetime;
  });
  for (auto& [vm, holding] : this->holdings) {
    if (holding.wanted > 0 && now >= holding.deadline) {
      holding.wanted = 0;
    }
  }
}

double ConnectionLedger::Unreported(Instant now) const {
  const double half_lives = Milliseconds(now - this->unreported_since) /
                            Milliseconds(Duration(kUnreportedHalfLife));
  return this->unreported * std::exp2(-half_lives);
}

double ConnectionLedger::Used(Instant now) const {
  double used = this->Unreported(now);
  for (const auto& [vm, holding] : this->holdings) {
    used += holding.allowed;
  }
  return used;
}

int ConnectionLedger::WaitingVms() const {
  return static_cast<int>(
      std::count_if(this->holdings.begin(), this->holdings.end(),
                    [](const auto& entry) { return entry.second.wanted > 0; }));
}

void ConnectionLedger::EndProgress(int ended, Instant now) {
  while (!this->in_progress.empty() &&
         (ended > 0 || now >= this->in_progress.front() + kProgressTime)) {
    this->in_progress.pop_front();
    --ended;
  }
}

double ConnectionLedger::Capacity(Instant now) const {
  const double capacity =
      std::max(1.0, this->max_connections * (1 - kReservedFraction) -
                        kReservedConnections);
  return now < this->started + kInitialPeriod
             ? std::max(1.0, capacity * kInitialFraction)
             : capacity;
}

std::pair<const std::string, ConnectionLedger::Holding>*
ConnectionLedger::MostUrgent(Instant now) {
  std::pair<const std::string, Holding>* best = nullptr;
  double best_rank = 0;
  for (auto& entry : this->holdings) {
    const Holding& holding = entry.second;
    if (holding.wanted == 0) {
      continue;
    }
    const double rank =
        holding.priority - Milliseconds(now - holding.waiting_since) / kAgingMs;
    if (best == nullptr || rank < best_rank) {
      best = &entry;
      best_rank = rank;
    }
  }
  return best;
}

void ConnectionLedger::GrantFree(
    std::map<std::string, ConnectionAnswer>& answers, Instant now) {
  double free = this->Capacity(now) - this->Used(now);
  this->EndProgress(0, now);
  int startable = std::max(1, this->slots) * kInProgressPerSlot -
                  static_cast<int>(this->in_progress.size());
  while (free >= 1 && startable > 0) {
    auto* const entry = this->MostUrgent(now);
    if (entry == nullptr) {
      break;
    }
    Holding& holding = entry->second;
    ++holding.allowed;
    --holding.wanted;
    this->in_progress.push_back(now);
    holding.waiting_since = now;
    --free;
    --startable;
    const double interval =
        std::min(Milliseconds(now - this->last_grant), kMaximumIntervalMs);
    this->grant_interval_ms +=
        kIntervalSmoothing * (interval - this->grant_interval_ms);
    this->last_grant = now;
    answers.try_emplace(entry->first);
  }
  // After all grants, since each answer tells of the room that is left.
  for (auto& [vm, answer] : answers) {
    answer = this->MakeAnswer(vm, this->holdings.at(vm), now);
  }
}

ConnectionAnswer ConnectionLedger::MakeAnswer(const std::string& vm,
                                              const Holding& holding,
                                              Instant now) const {
  ConnectionAnswer answer;
  answer.endpoint_id = this->endpoint_id;
  answer.sequence = holding.sequence;
  answer.allowed = holding.allowed;
  int ahead = 0;
  bool has_waiting = false;
  for (const auto& [other, waiting] : this->holdings) {
    if (waiting.wanted == 0) {
      continue;
    }
    has_waiting = true;
    const bool is_ahead = waiting.priority < holding.priority ||
                          (waiting.priority == holding.priority &&
                           waiting.waiting_since < holding.waiting_since);
    ahead += other != vm && is_ahead ? waiting.wanted : 0;
  }
  if (holding.wanted > 0) {
    answer.expected_wait = milliseconds(static_cast<std::int64_t>(
        std::ceil((ahead + 1) * this->grant_interval_ms)));
  }
  const double used_fraction =
      this->Used(now) / std::max(1.0, this->Capacity(now));
  const double idle_fraction =
      std::clamp((1 - used_fraction) / (1 - kAmpleFraction), 0.0, 1.0);
  answer.idle_time =
      has_waiting
          ? milliseconds(0)
          : milliseconds(static_cast<std::int64_t>(
                idle_fraction * static_cast<double>(kMaximumIdleTime.count())));
  return answer;
}

}  // namespace laburnumkeel::routing
