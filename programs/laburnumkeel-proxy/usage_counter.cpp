#include "programs/laburnumkeel-proxy/usage_counter.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <utility>

namespace laburnumkeel::proxy {

using kernel::Instant;
using std::chrono::milliseconds;

namespace {

// With names of 40 characters, a report stays well below the size of a
// datagram.
constexpr std::size_t kMaximumCounts = 1000;
constexpr std::size_t kMaximumReported = 32;

std::int64_t DrawIncarnation() {
  std::random_device device;
  return std::uniform_int_distribution<std::int64_t>(
      1, std::numeric_limits<std::int32_t>::max())(device);
}

}  // namespace

UsageCounter::UsageCounter(ProxyContext& context)
    : context(context),
      is_enabled(context.settings.ReportsUsage()),
      source{context.settings.vm, DrawIncarnation()},
      windows(std::max(milliseconds(1), context.settings.usage_window)),
      ledger(this->source) {
  if (this->is_enabled) {
    // From now on the time of day may jump.
    this->Now();
    this->context.usage_meter.SetSink(
        [this](const std::string& account, Instant began) {
          this->OnRun(account, began);
        });
  }
}

usage::UnixMilliseconds UsageCounter::Now() {
  return this->time.At(this->context.clock.Now(),
                       this->context.clock.UnixMilliseconds());
}

void UsageCounter::OnRun(const std::string& account, Instant began) {
  // Clients of a public route may have no account.
  if (!this->context.configuration ||
      !this->context.configuration->accounts.contains(account)) {
    return;
  }
  const usage::UnixMilliseconds time =
      this->time.At(began, this->context.clock.UnixMilliseconds());
  if (!this->ledger.Count(account, this->windows.At(time))) {
    this->context.metrics.Count("usage_counts_late");
  }
}

void UsageCounter::AddTo(peer::FleetReport& report,
                         std::uint64_t leader_token) {
  if (!this->is_enabled) {
    return;
  }
  if (leader_token != this->token) {
    this->token = leader_token;
    this->confirmed = 0;
    this->reported.clear();
  }
  report.unix_ms = this->context.clock.UnixMilliseconds();
  report.incarnation = this->source.incarnation;
  const bool is_first = this->confirmed == 0;
  if (is_first &&
      this->SettledThrough() != std::numeric_limits<std::int64_t>::min()) {
    report.usage_settled = this->SettledThrough();
  }
  usage::UsageLedger::Batch batch =
      this->ledger.ChangesSince(this->confirmed, kMaximumCounts);
  report.usage = std::move(batch.parts);
  this->reported[report.sequence] = batch.last_change;
  while (this->reported.size() > kMaximumReported) {
    this->reported.erase(this->reported.begin());
  }
}

void UsageCounter::OnResponse(const peer::FleetResponse& response,
                              Instant sent) {
  if (!this->is_enabled) {
    return;
  }
  if (response.unix_ms) {
    this->time.OnLeaderTime(*response.unix_ms, sent, this->context.clock.Now());
  }
  if (response.usage_settled) {
    this->ledger.OnSettled(*response.usage_settled);
  }
  const auto report = this->reported.find(response.sequence);
  if (report != this->reported.end()) {
    if (response.token == this->token) {
      this->confirmed = std::max(this->confirmed, report->second);
    }
    this->reported.erase(report);
  }
}

bool UsageCounter::IsDelivered() const {
  return !this->is_enabled || this->ledger.OpenWindows() == 0 ||
         this->confirmed == this->ledger.LastChange();
}

}  // namespace laburnumkeel::proxy
