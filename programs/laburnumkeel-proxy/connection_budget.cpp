#include "programs/laburnumkeel-proxy/connection_budget.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <optional>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "laburnumkeel/membership/lender_order.h"
#include "laburnumkeel/membership/rendezvous.h"
#include "laburnumkeel/peer/connection_message.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using boost::asio::ip::udp;
using kernel::Instant;
using routing::ConnectionAllowance;
using routing::ConnectionAnswer;
using routing::ConnectionLedger;
using routing::ConnectionReport;

namespace {

// When no lender answers, so many VMs that they hold this part of an endpoint's
// connections may open one each.
constexpr double kFloorFraction = 0.25;

int MaxConnections(const ProxyContext& context, const std::string& service) {
  const auto& services = context.configuration->services;
  const auto found = services.find(service);
  return found == services.end() ? 1 : found->second.max_connections;
}

}  // namespace

ConnectionBudget::ConnectionBudget(ProxyContext& context, PeerSocket& socket,
                                   Handlers handlers)
    : context(context),
      socket(socket),
      handlers(std::move(handlers)),
      ledger_timer(context.loop) {
  this->socket.AddReceiver(
      {[this](std::string_view bytes, const udp::endpoint& sender) {
         return this->OnDatagram(bytes, sender);
       },
       nullptr});
}

bool ConnectionBudget::IsShared(const std::string& service,
                                double minimum) const {
  if (!this->context.configuration) {
    return false;
  }
  return MaxConnections(this->context, service) < minimum * this->VmCount();
}

double ConnectionBudget::VmCount() const {
  // The leader's count is not known before its first answer.
  return static_cast<double>(std::max<std::size_t>(
      this->handlers.vms().size(), std::max(this->context.vm_count, 1)));
}

ConnectionBudget::Entry& ConnectionBudget::Find(
    const std::string& endpoint_id) {
  const Instant now = this->context.clock.Now();
  auto found = this->entries.find(endpoint_id);
  if (found == this->entries.end()) {
    int floor = 0;
    const auto endpoint = this->context.endpoints.find(endpoint_id);
    if (endpoint != this->context.endpoints.end()) {
      const double fraction =
          kFloorFraction *
          MaxConnections(this->context, endpoint->second.service) /
          this->VmCount();
      const double position = static_cast<double>(membership::RendezvousWeight(
                                  endpoint_id, this->context.settings.vm)) /
                              0x1p64;
      floor = position < fraction ? 1 : 0;
    }
    // The time since boot is higher than before a restart of this process.
    const std::int64_t first = now.time_since_epoch().count();
    found = this->entries
                .emplace(endpoint_id,
                         Entry{ConnectionAllowance(first, floor), {}, {}, now})
                .first;
  }
  found->second.used_at = now;
  return found->second;
}

bool ConnectionBudget::MayOpen(const std::string& endpoint_id, int held) {
  return this->Find(endpoint_id)
      .allowance.MayOpen(held, this->context.clock.Now());
}

std::chrono::milliseconds ConnectionBudget::IdleTime(
    const std::string& endpoint_id) const {
  const auto found = this->entries.find(endpoint_id);
  return found == this->entries.end()
             ? std::chrono::milliseconds(0)
             : found->second.allowance.IdleTime(this->context.clock.Now());
}

void ConnectionBudget::OnRefused(const std::string& endpoint_id) {
  this->Find(endpoint_id).allowance.OnRefused();
}

void ConnectionBudget::OnDemandChanged(const std::string& endpoint_id) {
  this->changed.insert(endpoint_id);
  if (std::exchange(this->is_reporting, true)) {
    return;
  }
  // One report covers all changes of this handler.
  boost::asio::post(this->context.loop, [this] { this->ReportChanged(); });
}

void ConnectionBudget::ReportChanged() {
  this->is_reporting = false;
  for (const std::string& endpoint_id : std::exchange(this->changed, {})) {
    this->Report(endpoint_id, this->Find(endpoint_id));
  }
}

void ConnectionBudget::Tick() {
  const Instant now = this->context.clock.Now();
  std::erase_if(this->entries, [&](const auto& entry) {
    return entry.second.allowance.IsUnused() &&
           now >= entry.second.used_at + kAllowanceRetention;
  });
  for (auto& [endpoint_id, entry] : this->entries) {
    this->Report(endpoint_id, entry);
  }
}

void ConnectionBudget::RefreshLenders(const std::string& endpoint_id,
                                      Entry& entry) {
  const Instant now = this->context.clock.Now();
  if (!entry.lenders.empty() &&
      now < entry.lenders_chosen_at + kLenderRefresh) {
    return;
  }
  entry.lenders_chosen_at = now;
  std::vector<membership::LenderCandidate> candidates;
  for (const auto& [vm, row] : this->handlers.vms()) {
    candidates.push_back({vm, row.data_centre, row.processor_share});
  }
  const auto endpoint = this->context.endpoints.find(endpoint_id);
  const std::string data_centre = endpoint == this->context.endpoints.end()
                                      ? std::string()
                                      : endpoint->second.data_centre;
  entry.lenders = membership::LenderOrder(endpoint_id, data_centre, candidates,
                                          ConnectionAllowance::kLenders);
}

void ConnectionBudget::Report(const std::string& endpoint_id, Entry& entry) {
  const Instant now = this->context.clock.Now();
  const std::size_t previous_lender = entry.allowance.Lender();
  auto report =
      entry.allowance.NextReport(this->handlers.demand(endpoint_id), now);
  if (!report) {
    return;
  }
  this->RefreshLenders(endpoint_id, entry);
  if (entry.lenders.empty()) {
    return;
  }
  report->vm = this->context.settings.vm;
  report->endpoint_id = endpoint_id;
  this->context.metrics.Count("connection_reports_sent");
  const std::string& lender =
      entry.lenders[entry.allowance.Lender() % entry.lenders.size()];
  if (entry.allowance.Lender() != previous_lender) {
    this->context.metrics.Count("connection_lenders_changed");
    this->context.request_log.Write(
        kConnectionLenderChanged, now,
        {{"endpoint", endpoint_id}, {"lender", lender}});
  }
  if (lender == this->context.settings.vm) {
    this->OnReport(*report);
    return;
  }
  const auto row = this->handlers.vms().find(lender);
  if (row != this->handlers.vms().end()) {
    this->socket.SendTo(row->second.address, peer::Encode(*report));
  }
}

bool ConnectionBudget::OnDatagram(std::string_view bytes,
                                  const udp::endpoint& sender) {
  if (const auto report = peer::DecodeConnectionReport(bytes)) {
    this->context.metrics.Count("connection_reports_received");
    this->reporters[report->vm] = sender;
    this->OnReport(*report);
    return true;
  }
  if (const auto answer = peer::DecodeConnectionAnswer(bytes)) {
    this->OnAnswer(*answer);
    return true;
  }
  return false;
}

ConnectionLedger* ConnectionBudget::FindLedger(const std::string& endpoint_id) {
  const auto endpoint = this->context.endpoints.find(endpoint_id);
  if (endpoint == this->context.endpoints.end() ||
      !this->context.configuration) {
    return nullptr;
  }
  const int limit = MaxConnections(this->context, endpoint->second.service);
  const int slots = endpoint->second.slots;
  ConnectionLedger& ledger =
      this->ledgers.try_emplace(endpoint_id, limit, slots).first->second;
  ledger.SetLimits(limit, slots);
  return &ledger;
}

void ConnectionBudget::OnReport(const ConnectionReport& report) {
  ConnectionLedger* const ledger = this->FindLedger(report.endpoint_id);
  if (ledger == nullptr) {
    // The VM asks the next lender.
    return;
  }
  const Instant now = this->context.clock.Now();
  const bool was_waiting = ledger->WaitingVms() > 0;
  const auto answers = ledger->OnReport(report, now);
  if (report.was_refused) {
    this->context.metrics.Count("connections_over_limit");
  }
  if (ledger->WaitingVms() > 0 && !was_waiting) {
    this->context.metrics.Count("connection_waits");
    this->context.request_log.Write(kConnectionsScarce, now,
                                    {{"endpoint", report.endpoint_id},
                                     {"used", ledger->Used(now)},
                                     {"vm", report.vm}});
  }
  this->SendAnswers(answers);
  this->ScheduleLedgers();
}

void ConnectionBudget::SendAnswers(
    const std::map<std::string, ConnectionAnswer>& answers) {
  for (const auto& [vm, answer] : answers) {
    if (vm == this->context.settings.vm) {
      this->OnAnswer(answer);
      continue;
    }
    const auto target = this->reporters.find(vm);
    if (target != this->reporters.end()) {
      this->context.metrics.Count("connection_answers_sent");
      this->socket.Send(peer::Encode(answer), target->second);
    }
  }
}

void ConnectionBudget::OnAnswer(const ConnectionAnswer& answer) {
  const auto found = this->entries.find(answer.endpoint_id);
  if (found == this->entries.end()) {
    return;
  }
  ConnectionAllowance& allowance = found->second.allowance;
  if (allowance.OnAnswer(answer, this->context.clock.Now())) {
    this->handlers.on_answer(answer.endpoint_id, allowance.ExpectedAt());
  }
}

void ConnectionBudget::ScheduleLedgers() {
  const bool is_waiting = std::any_of(
      this->ledgers.begin(), this->ledgers.end(),
      [](const auto& entry) { return entry.second.WaitingVms() > 0; });
  if (!is_waiting || std::exchange(this->is_ledger_timer_set, true)) {
    return;
  }
  this->ledger_timer.expires_after(kLedgerTick);
  this->ledger_timer.async_wait([this](boost::system::error_code error) {
    this->is_ledger_timer_set = false;
    if (!error) {
      this->TickLedgers();
    }
  });
}

void ConnectionBudget::TickLedgers() {
  const Instant now = this->context.clock.Now();
  for (auto& [endpoint_id, ledger] : this->ledgers) {
    if (ledger.WaitingVms() > 0) {
      this->SendAnswers(ledger.Tick(now));
    }
  }
  std::erase_if(this->ledgers, [this](const auto& entry) {
    return !this->context.endpoints.contains(entry.first);
  });
  this->ScheduleLedgers();
}

}  // namespace laburnumkeel::proxy
