#include "programs/laburnumkeel-proxy/usage_reporter.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "laburnumkeel/model/store_version.h"
#include "platform/usage_call.h"
#include "programs/laburnumkeel-proxy/events.h"
#include "programs/laburnumkeel-proxy/usage_row.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using kernel::LogEvent;
using std::chrono::milliseconds;
using usage::WindowNumber;

namespace {

const LeaderDuty kUsageDuty{"usage", "duty", "window", kUsageCalled,
                            kUsageCallEnded};
const std::string kSubject = "usage";

// After it took over, a leader hears from all VMs that can reach it within two
// report periods.
constexpr milliseconds kCollectTime{1200};
// VMs that were silent for so long are lost, and not waited for.
constexpr milliseconds kLostAfter{15000};
// A process that has not reported for this long may not report again.
constexpr milliseconds kSilentAfter{2000};
constexpr milliseconds kElectPeriod{500};
constexpr milliseconds kReadRetryDelay{300};
constexpr milliseconds kSendRetryDelay{300};
constexpr milliseconds kRefusedRetryDelay{1000};
// A report that the platform refuses as wrong is not sent for ever.
constexpr int kMaximumRefusals = 3;
constexpr std::size_t kMaximumLines = 24;
constexpr int kStatusTimeout = 408;
constexpr int kStatusTooMany = 429;
constexpr int kStatusServerError = 500;
constexpr int kStatusClientError = 400;

bool IsRefusal(int status) {
  return status >= kStatusClientError && status < kStatusServerError &&
         status != kStatusTimeout && status != kStatusTooMany;
}

}  // namespace

UsageReporter::UsageReporter(ProxyContext& context, StoreLink& store,
                             Leadership& leadership, UsageCounter& counter)
    : context(context),
      store(store),
      leadership(leadership),
      counter(counter),
      settler(counter.Windows(), context.settings.usage_delay),
      known_settled(std::numeric_limits<WindowNumber>::min()) {
  if (this->counter.IsEnabled()) {
    this->leadership.AddObserver([this] { this->OnLeadershipChanged(); });
  }
}

void UsageReporter::OnLeadershipChanged() {
  const Instant now = this->context.clock.Now();
  const std::uint64_t current =
      this->leadership.MayAct(now) ? this->leadership.Token() : 0;
  if (current == this->token) {
    return;
  }
  // A successor hears nothing from processes that have ended.
  this->counter.Adopt(
      this->collector.PartsOfSilentProcesses(now - kSilentAfter));
  this->collector = usage::UsageCollector();
  this->settler.Reset();
  this->counter.Time().ForgetVms();
  this->token = current;
  this->known_settled = this->counter.SettledThrough();
  this->acquired_in = this->counter.Windows().At(this->counter.Now());
  this->is_read_due = true;
  this->read_retry_at = Instant();
  this->send_retry_at = Instant();
  this->sent_window = 0;
}

void UsageReporter::OnReport(const peer::FleetReport& report) {
  if (!this->counter.IsEnabled()) {
    return;
  }
  if (report.is_leaving) {
    this->collector.OnLeft(report.vm);
    return;
  }
  const Instant now = this->context.clock.Now();
  const WindowNumber current = this->counter.Windows().At(this->counter.Now());
  if (report.usage_settled && *report.usage_settled <= current) {
    this->known_settled = std::max(this->known_settled, *report.usage_settled);
  }
  for (const usage::UsagePart& part : report.usage) {
    for (const usage::RefusedUsage& refused :
         this->collector.Merge(part, current)) {
      this->context.metrics.Count("usage_counts_refused");
      this->context.request_log.Write(kUsageCountRefused, now,
                                      {{"vm", refused.source.vm},
                                       {"reporting_vm", report.vm},
                                       {"window", refused.window},
                                       {"account", refused.account},
                                       {"reason", ToString(refused.refusal)}});
    }
  }
  if (report.unix_ms) {
    this->collector.OnHeard({report.vm, report.incarnation}, now);
    if (report.vm != this->context.settings.vm) {
      this->counter.Time().OnVmTime(report.vm, *report.unix_ms, now);
    }
  }
}

void UsageReporter::AddTo(peer::FleetResponse& response) {
  if (!this->counter.IsEnabled()) {
    return;
  }
  response.unix_ms = this->counter.Now();
  if (this->settler.SettledThrough() !=
      std::numeric_limits<WindowNumber>::min()) {
    response.usage_settled = this->settler.SettledThrough();
  }
}

void UsageReporter::Tick(Instant now) {
  if (!this->counter.IsEnabled() || !this->context.configuration) {
    return;
  }
  if (this->accounts_version != this->context.configuration->version) {
    this->accounts_version = this->context.configuration->version;
    for (const auto& [name, account] : this->context.configuration->accounts) {
      this->known_accounts.insert(name);
    }
  }
  if (this->token == 0 || !this->leadership.MayAct(now)) {
    return;
  }
  if (now >= this->elected_at + kElectPeriod) {
    this->elected_at = now;
    this->counter.Time().Elect(this->context.clock.UnixMilliseconds(), now);
  }
  if (this->row_era != this->store.Era()) {
    this->is_read_due = true;
  }
  this->Read(now);
  this->Settle(now);
  this->Send(now);
}

void UsageReporter::Read(Instant now) {
  if (!this->is_read_due || this->is_reading || this->is_writing ||
      now < this->read_retry_at ||
      now < this->leadership.LeaderSince() + kCollectTime) {
    return;
  }
  this->is_reading = this->store.ReadTableOnce(
      kUsageTable, [this, sent_token = this->token](
                       const std::optional<platform_adapter::StoreRows>& rows) {
        this->OnRowsRead(rows, sent_token);
      });
}

void UsageReporter::OnRowsRead(
    const std::optional<platform_adapter::StoreRows>& rows,
    std::uint64_t sent_token) {
  this->is_reading = false;
  if (sent_token != this->token || this->token == 0) {
    return;
  }
  if (!rows) {
    this->read_retry_at = this->context.clock.Now() + kReadRetryDelay;
    return;
  }
  this->is_read_due = false;
  this->row_era = this->store.Era();
  this->row_version = 0;
  std::optional<usage::UsageRecord> record;
  for (const platform_adapter::StoreRow& row : rows->rows) {
    if (row.key != kUsageKey) {
      continue;
    }
    this->row_version = row.version;
    record = DecodeUsage(row.value);
    const WindowNumber latest = this->counter.Windows().At(
        this->counter.Now() + this->context.settings.usage_delay.count());
    if (record && record->settled_through > latest) {
      // It would keep all windows up to that one from being reported.
      record.reset();
    }
    if (!record) {
      LogEvent(kRowIgnored, {{"key", row.key},
                             {"row_version", model::VersionText(row.version)}});
    }
  }
  const auto proposal = this->settler.Proposal();
  if (!this->settler.OnRead(record, this->row_era, this->known_settled,
                            this->acquired_in)) {
    this->context.metrics.Count("usage_conflicts");
    LogEvent(kUsageConflict, {{"window", proposal->settled_through},
                              {"settled_through", record->settled_through}});
  } else if (proposal && !this->settler.Proposal()) {
    this->OnSettled(proposal->settled_through);
  }
  this->collector.OnSettled(this->settler.SettledThrough());
}

Instant UsageReporter::EndOf(WindowNumber window, Instant now) {
  return now - milliseconds(this->counter.Now() -
                            this->counter.Windows().EndOf(window));
}

std::int64_t UsageReporter::AgeMs(WindowNumber window) {
  return this->counter.Now() - this->counter.Windows().EndOf(window);
}

bool UsageReporter::AreAllHeard(WindowNumber window, Instant now) {
  const Instant heard_after =
      this->EndOf(window, now) + this->settler.MinimumWait() / 2;
  const bool is_new_leader =
      now < this->leadership.LeaderSince() + 2 * kCollectTime;
  return std::none_of(
      this->store.Vms().begin(), this->store.Vms().end(),
      [&](const auto& entry) {
        const auto heard = this->collector.LastHeard(entry.first);
        if (!heard) {
          return is_new_leader;
        }
        return *heard < heard_after && now < *heard + kLostAfter;
      });
}

void UsageReporter::Settle(Instant now) {
  if (this->is_read_due || this->is_reading || this->is_writing) {
    return;
  }
  if (const auto skipped = this->settler.SkipBacklog(this->counter.Now())) {
    this->OnMissed(skipped->first, skipped->second, "too long ago");
  }
  const auto due = this->settler.DueWindow(
      this->counter.Now(),
      [&](WindowNumber window) { return this->AreAllHeard(window, now); });
  if (due) {
    std::set<std::string> unknown_accounts;
    usage::AccountCounts counts =
        this->collector.Total(*due, this->known_accounts, unknown_accounts);
    for (const std::string& account : unknown_accounts) {
      this->context.metrics.Count("usage_counts_refused");
      this->context.request_log.Write(kUsageCountRefused, now,
                                      {{"window", *due},
                                       {"account", account},
                                       {"reason", "the account is unknown"}});
    }
    const Instant heard_after = this->EndOf(*due, now);
    this->vms_heard = static_cast<std::size_t>(std::count_if(
        this->store.Vms().begin(), this->store.Vms().end(),
        [&](const auto& entry) {
          const auto heard = this->collector.LastHeard(entry.first);
          return heard && *heard >= heard_after;
        }));
    this->vms_missing = this->store.Vms().size() - this->vms_heard;
    if (EncodeUsage({*due, {{*due, counts}}, 0}).size() >
        kMaximumUsageRowBytes / 2) {
      // Two windows that wait for the platform have to fit into the row.
      this->OnMissed(*due, *due, "the counts do not fit into a row");
      this->settler.Skip();
      return;
    }
    this->settler.Propose(std::move(counts), this->store.Era());
  }
  if (this->settler.Proposal()) {
    this->Write();
  }
}

void UsageReporter::OnMissed(WindowNumber first, WindowNumber last,
                             const std::string& reason) {
  this->context.metrics.Count("usage_windows_missed",
                              static_cast<std::uint64_t>(last - first) + 1);
  LogEvent(
      kUsageMissed,
      {{"first_window", first}, {"last_window", last}, {"reason", reason}});
  this->collector.OnSettled(last);
}

void UsageReporter::Write() {
  this->is_writing = true;
  const std::string value = EncodeUsage(*this->settler.Proposal());
  this->store.Write(
      [this, value, sent_token = this->token,
       era = this->row_era]() -> std::optional<StoreLink::Transaction> {
        // Neither a VM that has lost the lease nor one that does not know the
        // newest row may settle a window.
        if (!this->leadership.MayAct(this->context.clock.Now()) ||
            sent_token != this->token || era != this->store.Era()) {
          return std::nullopt;
        }
        return StoreLink::Transaction{
            {{std::string(kUsageTable), std::string(kUsageKey),
              this->row_version},
             {std::string(kFleetTable), std::string(kLeaderKey),
              this->leadership.Lease().Version()}},
            {{std::string(kUsageTable), std::string(kUsageKey), value}}};
      },
      [this, sent_token = this->token](const StoreLink::WriteOutcome& outcome) {
        this->OnWriteEnded(outcome, sent_token);
      });
}

void UsageReporter::OnWriteEnded(const StoreLink::WriteOutcome& outcome,
                                 std::uint64_t sent_token) {
  this->is_writing = false;
  if (sent_token != this->token || this->token == 0) {
    return;
  }
  if (outcome.kind != StoreLink::WriteOutcome::Kind::kDone) {
    // It may have been done, or may still be.
    this->is_read_due = true;
    this->read_retry_at = this->context.clock.Now() + kReadRetryDelay;
    return;
  }
  this->row_version = outcome.version;
  const WindowNumber window = this->settler.Proposal()->settled_through;
  this->settler.OnWritten();
  this->OnSettled(window);
}

void UsageReporter::OnSettled(WindowNumber window) {
  this->collector.OnSettled(window);
  const usage::AccountCounts* counts = this->settler.CountsOf(window);
  if (counts == nullptr) {
    return;
  }
  const std::uint64_t total = usage::TotalOf(*counts);
  LogEvent(kUsageSettled, {{"window", window},
                           {"accounts", counts->size()},
                           {"total", total},
                           {"vms_heard", this->vms_heard},
                           {"vms_missing", this->vms_missing},
                           {"age_ms", this->AgeMs(window)}});
  this->Remember({window, counts->size(), total, "settled"});
  this->Send(this->context.clock.Now());
}

void UsageReporter::Send(Instant now) {
  if (now < this->send_retry_at ||
      !this->leadership.Duties().MayCall(kUsageDuty, kSubject)) {
    return;
  }
  const auto window = this->settler.NextReport();
  if (!window) {
    return;
  }
  if (*window != this->sent_window) {
    this->sent_window = *window;
    this->attempts = 0;
    this->refusals = 0;
  }
  ++this->attempts;
  this->leadership.Duties().Call(
      kUsageDuty, kSubject, std::to_string(*window),
      [&](const std::string& holder, std::uint64_t call_token) {
        return platform_adapter::UsageCall(
            *window, *this->settler.CountsOf(*window), holder, call_token);
      },
      [this, window = *window,
       sent_token = this->token](const transport::HttpAnswer& answer) {
        this->OnSent(window, answer, sent_token);
      });
}

void UsageReporter::OnSent(WindowNumber window,
                           const transport::HttpAnswer& answer,
                           std::uint64_t sent_token) {
  if (sent_token != this->token || this->token == 0) {
    return;
  }
  if (answer.status == transport::HttpAnswer::kOk) {
    const bool is_late =
        this->AgeMs(window) > this->context.settings.usage_delay.count();
    if (is_late) {
      this->context.metrics.Count("usage_reports_late");
    }
    if (this->attempts > 1) {
      this->context.metrics.Count("usage_reports_repeated");
    }
    this->context.metrics.Count("usage_reports");
    this->Finish(window, is_late ? "late" : "reported");
    return;
  }
  const Instant now = this->context.clock.Now();
  this->send_retry_at = now + kSendRetryDelay;
  if (IsRefusal(answer.status)) {
    this->send_retry_at = now + kRefusedRetryDelay;
    if (++this->refusals >= kMaximumRefusals) {
      this->context.metrics.Count("usage_reports_refused");
      this->Finish(window, "refused");
    }
  }
}

void UsageReporter::Finish(WindowNumber window, const std::string& outcome) {
  const usage::AccountCounts* counts = this->settler.CountsOf(window);
  if (counts == nullptr) {
    return;
  }
  const std::uint64_t total = usage::TotalOf(*counts);
  LogEvent(kUsageReported, {{"window", window},
                            {"accounts", counts->size()},
                            {"total", total},
                            {"age_ms", this->AgeMs(window)},
                            {"attempts", this->attempts},
                            {"outcome", outcome}});
  this->Remember({window, counts->size(), total, outcome});
  this->settler.OnAcknowledged(window);
}

void UsageReporter::Remember(const WindowLine& line) {
  std::erase_if(this->lines, [&](const WindowLine& known) {
    return known.window == line.window;
  });
  this->lines.push_back(line);
  while (this->lines.size() > kMaximumLines) {
    this->lines.pop_front();
  }
}

std::string UsageReporter::Describe(Instant now) const {
  nlohmann::json windows = nlohmann::json::array();
  for (const WindowLine& line : this->lines) {
    windows.push_back({{"window", line.window},
                       {"accounts", line.accounts},
                       {"total", line.total},
                       {"outcome", line.outcome}});
  }
  const auto& record = this->leadership.Lease().Record();
  nlohmann::json document = {{"enabled", this->counter.IsEnabled()},
                             {"vm", this->context.settings.vm},
                             {"leads", this->leadership.MayAct(now)},
                             {"leader", record ? record->holder : ""},
                             {"token", this->leadership.Token()},
                             {"windows", windows}};
  const WindowNumber settled =
      std::max(this->settler.SettledThrough(), this->counter.SettledThrough());
  if (settled != std::numeric_limits<WindowNumber>::min()) {
    document["settled_through"] = settled;
  }
  return document.dump();
}

}  // namespace laburnumkeel::proxy
