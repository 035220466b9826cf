#include "programs/laburnumkeel-proxy/fleet_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/model/store_version.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using boost::asio::ip::udp;
using kernel::Instant;
using kernel::LogEvent;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Reports that may await an answer. Answers to older reports are ignored.
constexpr std::size_t kMaximumInFlight = 32;

microseconds Elapsed(Instant now, Instant then) {
  return std::chrono::duration_cast<microseconds>(now - then);
}

}  // namespace

FleetExchange::FleetExchange(
    ProxyContext& context, StoreLink& store, Leadership& leadership,
    AccountGate& gate, OperationExchange& operations,
    UsageCounter& usage_counter, UsageReporter& usage_reporter,
    PeerSocket& socket,
    std::function<ServicePool&(const std::string&)> find_pool)
    : context(context),
      store(store),
      leadership(leadership),
      gate(gate),
      operations(operations),
      usage_counter(usage_counter),
      usage_reporter(usage_reporter),
      find_pool(std::move(find_pool)),
      socket(socket),
      timer(context.loop) {
  this->leadership.SetHandoverSource([this] { return this->MakeHandover(); });
  this->socket.AddReceiver(
      {[this](std::string_view bytes, const udp::endpoint& sender) {
         return this->OnDatagram(bytes, sender);
       },
       [this] { this->AnswerReports(); }});
}

void FleetExchange::Start() { this->Schedule(milliseconds(0)); }

void FleetExchange::AnswerReports() {
  std::vector<ReceivedReport> reports;
  for (auto& [key, received] : std::exchange(this->pending_reports, {})) {
    reports.push_back(std::move(received));
  }
  std::sort(reports.begin(), reports.end(),
            [](const ReceivedReport& left, const ReceivedReport& right) {
              return std::pair(left.report.is_partial, left.number) >
                     std::pair(right.report.is_partial, right.number);
            });
  for (const ReceivedReport& received : reports) {
    this->OnReport(received);
  }
}

bool FleetExchange::OnDatagram(std::string_view bytes,
                               const udp::endpoint& sender) {
  auto report = peer::DecodeReport(bytes);
  if (report && report->vm.size() <= kMaximumVmNameBytes) {
    const auto key = std::make_pair(report->vm, report->is_partial);
    const auto [entry, is_new] = this->pending_reports.insert_or_assign(
        key,
        ReceivedReport{std::move(*report), sender, ++this->received_reports});
    if (!is_new) {
      this->context.metrics.Count("reports_superseded");
    }
    return true;
  }
  if (const auto response = peer::DecodeResponse(bytes)) {
    this->OnResponse(*response);
    return true;
  }
  return false;
}

bool FleetExchange::PrepareCoordinator(Instant now) {
  const auto& record = this->leadership.Lease().Record();
  if (!this->leadership.Lease().IsHeld(now) || !record ||
      !this->store.HasReadFleetSince(this->leadership.LeaderSince()) ||
      !this->context.configuration) {
    return false;
  }
  if (record->token != this->coordinated_token) {
    this->coordinated_token = record->token;
    this->loads.Clear();
    this->planner.Reset(record->delegates, now);
    this->is_delegating = this->planner.IsDelegating(this->store.Vms().size());
    this->coordinator.SetDelegating(this->is_delegating);
    this->coordinator.SetVms(this->store.VmNames());
    this->coordinator.Reset(record->inactive_vms,
                            this->leadership.InheritedOperations(), now);
    this->published_version = 0;
  }
  if (this->leadership.Lease().Version() != this->published_version) {
    this->published_version = this->leadership.Lease().Version();
    if (record->delegates.revision != this->planner.Published().revision) {
      LogEvent(kDelegatesPublished,
               {{"revision", record->delegates.revision},
                {"members", record->delegates.members.size()},
                {"joining", record->delegates.joining.size()},
                {"retired", record->delegates.retired.size()}});
    }
    this->planner.OnPublished(record->delegates, now);
    this->coordinator.SetPublishedInactive(record->inactive_vms);
    this->coordinator.SetPublishedWithheld(record->withheld_operations);
    this->coordinator.SetVms(this->store.VmNames());
  }
  return true;
}

Leadership::Handover FleetExchange::MakeHandover() {
  const Instant now = this->context.clock.Now();
  if (!this->PrepareCoordinator(now)) {
    // Nothing has been granted under this token yet, so the record is published
    // unchanged.
    const promotion::LeaderRecord& record = *this->leadership.Lease().Record();
    return {record.inactive_vms, record.withheld_operations, record.delegates};
  }
  this->is_delegating |= this->planner.IsDelegating(this->store.Vms().size());
  this->coordinator.SetDelegating(this->is_delegating);
  for (const auto& [name, account] : this->context.configuration->accounts) {
    this->coordinator.AddAccount(name,
                                 AccountLimit(this->context.settings, account));
  }
  const bool may_delegate =
      this->is_delegating && !this->coordinator.MayHoldShares(now);
  return {this->coordinator.InactiveVms(now),
          this->coordinator.ProposeWithheld(now),
          this->planner.Propose(this->DelegateCandidates(),
                                this->coordinated_token, may_delegate, now)};
}

limits::DelegatePlanner::Candidates FleetExchange::DelegateCandidates() const {
  limits::DelegatePlanner::Candidates candidates;
  for (const auto& [vm, row] : this->store.Vms()) {
    const auto data_centre = this->delegate_data_centres.find(vm);
    candidates[vm] = {
        {data_centre == this->delegate_data_centres.end() ? "" : row.address,
         data_centre == this->delegate_data_centres.end()
             ? ""
             : data_centre->second},
        row.processor_share};
  }
  return candidates;
}

void FleetExchange::OnReport(const ReceivedReport& received) {
  const peer::FleetReport& report = received.report;
  if (!this->PrepareCoordinator(this->context.clock.Now())) {
    return;
  }
  if (report.is_leaving) {
    this->usage_reporter.OnReport(report);
    this->coordinator.OnLeft(report.vm);
    this->reporters.erase(report.vm);
    return;
  }
  if (!this->MayReport(report.vm)) {
    this->context.metrics.Count("reports_of_unknown_vms_ignored");
    this->context.request_log.Write(
        kReportersLimited, this->context.clock.Now(),
        {{"sender", received.sender.address().to_string()},
         {"reporters", this->reporters.size()}});
    return;
  }
  this->ObserveCommitted(report);
  this->ObserveLoads(report, this->context.clock.Now());
  this->reporters[report.vm] = received.sender;
  this->socket.Send(peer::Encode(this->MakeResponse(report)), received.sender);
}

bool FleetExchange::MayReport(const std::string& vm) const {
  // A VM reports before the leader has read its registration.
  return this->reporters.contains(vm) || this->store.Vms().contains(vm) ||
         this->reporters.size() <
             this->store.Vms().size() + kMaximumUnregisteredVms;
}

void FleetExchange::ObserveCommitted(const peer::FleetReport& report) {
  for (const auto& [service, position] : report.committed) {
    const routing::PrimaryRecord* record =
        this->context.primaries.Find(service);
    // A VM that does not know the newest record may speak of an earlier term.
    if (record != nullptr && report.primaries_version >= record->version) {
      this->find_pool(service).ObserveCommitted(position);
    }
  }
}

void FleetExchange::ObserveLoads(const peer::FleetReport& report, Instant now) {
  for (const auto& [endpoint, load] : report.loads) {
    if (this->context.endpoints.contains(endpoint)) {
      this->loads.Add(endpoint, load, now);
    }
  }
}

peer::FleetResponse FleetExchange::MakeResponse(
    const peer::FleetReport& report) {
  const Instant now = this->context.clock.Now();
  peer::FleetResponse response;
  response.sequence = report.sequence;
  response.token = this->coordinated_token;
  response.primaries_version = this->context.primaries.NewestVersion();
  for (const auto& [service, record] : this->context.primaries.Records()) {
    if (record.version > report.primaries_version && !record.IsRestored()) {
      response.primaries.push_back(record);
    }
    if (report.is_partial) {
      continue;
    }
    response.lags.merge(this->find_pool(service).Lags(now));
    const auto sample = this->find_pool(service).NewestSample();
    if (sample) {
      response.positions[service] = {sample->position,
                                     Elapsed(now, sample->covered_until)};
    }
  }
  if (report.can_delegate) {
    this->planner.OnReported(report.vm, report.delegates_revision, now);
    this->delegate_data_centres[report.vm] = report.data_centre;
  }
  response.delegates_revision = this->planner.Published().revision;
  if (response.delegates_revision != report.delegates_revision) {
    response.delegates = this->planner.Published();
  }
  if (!report.is_partial) {
    this->usage_reporter.OnReport(report);
    this->usage_reporter.AddTo(response);
  }
  this->coordinator.OnReported(report.vm, !report.is_partial, now);
  for (const auto& [name, demand] : report.accounts) {
    const auto found = this->context.configuration->accounts.find(name);
    if (found == this->context.configuration->accounts.end()) {
      continue;
    }
    response.accounts[name] = this->coordinator.Assign(
        report.vm, name, AccountLimit(this->context.settings, found->second),
        demand, now);
  }
  if (this->coordinator.IsWithheldNeeded()) {
    this->leadership.RenewSoon();
  }
  response.operator_rows = {this->store.OperatorRows().version,
                            Elapsed(now, this->store.OperatorRows().read_at)};
  response.endpoint_rows = {this->store.EndpointRows().version,
                            Elapsed(now, this->store.EndpointRows().read_at)};
  if (!report.is_partial) {
    response.delays = this->loads.Noticeable(now);
  }
  response.vm_count =
      std::max<int>(1, static_cast<int>(this->store.VmNames().size()));
  return response;
}

void FleetExchange::OnResponse(const peer::FleetResponse& response) {
  if (response.sequence == 0) {
    this->OnAnnouncement(response);
    return;
  }
  const auto sent = this->in_flight.find(response.sequence);
  if (sent == this->in_flight.end()) {
    return;
  }
  const Instant sent_at = sent->second;
  this->in_flight.erase(sent);
  this->pacing.OnAnswered();
  this->Apply(response, sent_at);
}

void FleetExchange::OnAnnouncement(const peer::FleetResponse& announcement) {
  if (announcement.is_released) {
    if (this->store.IsLargestVm()) {
      this->store.ReadFleetSoon();
    }
    return;
  }
  if (!announcement.leader.empty() &&
      announcement.token > this->CurrentLeader().token) {
    this->announced_leader = {announcement.token, announcement.leader,
                              announcement.leader_address};
    LogEvent(kLeaderAnnounced,
             {{"leader", announcement.leader}, {"token", announcement.token}});
    // Until a new leader knows what this VM holds, it grants others less.
    this->last_full_report = Instant();
  }
  this->ReportSoon();
}

FleetExchange::Leader FleetExchange::CurrentLeader() const {
  const auto& record = this->leadership.Lease().Record();
  if (!record || record->token < this->announced_leader.token) {
    return this->announced_leader;
  }
  return {record->token, record->holder, record->address};
}

void FleetExchange::Apply(const peer::FleetResponse& response, Instant sent) {
  bool has_changed = false;
  for (routing::PrimaryRecord record : response.primaries) {
    // The leader sends only what it has published in the present era.
    record.store_era = model::EraOf(record.version);
    if (this->context.primaries.Adopt(record)) {
      has_changed = true;
      LogEvent(kPrimaryAdopted,
               {{"service", record.service},
                {"endpoint", record.endpoint_id},
                {"term", record.term},
                {"changing", record.is_changing},
                {"row_version", model::VersionText(record.version)},
                {"source", "holder"}});
    }
  }
  this->context.primaries.ConfirmAll(response.primaries_version, sent);
  this->context.leader_last_contact =
      std::max(this->context.leader_last_contact, sent);
  this->context.vm_count = response.vm_count;
  for (const auto& [service, sample] : response.positions) {
    this->find_pool(service).AddSample(sample.position, sent - sample.age);
  }
  for (const auto& [endpoint, lag] : response.lags) {
    const auto known = this->context.endpoints.find(endpoint);
    if (known != this->context.endpoints.end() &&
        !this->leadership.IsLeader()) {
      this->find_pool(known->second.service).SetLag(endpoint, lag, sent);
    }
  }
  for (const auto& [endpoint, delay] : response.delays) {
    const auto known = this->context.endpoints.find(endpoint);
    if (known != this->context.endpoints.end()) {
      this->find_pool(known->second.service).SetDelay(endpoint, delay, sent);
    }
  }
  this->store.OnPeerTableState(
      {response.operator_rows.version, sent - response.operator_rows.age},
      {response.endpoint_rows.version, sent - response.endpoint_rows.age});
  if (response.delegates) {
    this->operations.Follow(*response.delegates, sent, "leader");
  } else {
    this->operations.Confirm(response.delegates_revision, sent);
  }
  this->usage_counter.OnResponse(response, sent);
  this->gate.OnResponse(sent);
  if (response.sequence > this->applied_sequence) {
    this->applied_sequence = response.sequence;
    for (const auto& [account, grant] : response.accounts) {
      this->gate.OnGrant(account, grant, sent);
    }
  }
  if (has_changed) {
    this->store.NotifyChange();
    // The leader needs to know soon which commits were acknowledged.
    this->ReportSoon();
  }
}

peer::FleetReport FleetExchange::MakeReport(Instant now) {
  peer::FleetReport report;
  report.vm = this->context.settings.vm;
  report.sequence = ++this->sequence;
  report.primaries_version = this->context.primaries.NewestVersion();
  for (const auto& [service, record] : this->context.primaries.Records()) {
    const model::LogPosition committed = this->find_pool(service).Committed();
    if (record.is_changing && committed > model::LogPosition()) {
      report.committed[service] = committed;
    }
  }
  report.delegates_revision = this->operations.Revision();
  report.can_delegate = true;
  report.data_centre = this->context.settings.data_centre;
  report.is_partial = now < this->last_full_report + kReportPeriod;
  if (report.is_partial) {
    report.accounts = this->gate.ReportWaiting(now);
  } else {
    report.accounts = this->gate.Report(now);
    for (const auto& [service, record] : this->context.primaries.Records()) {
      report.loads.merge(this->find_pool(service).TakeLoads());
    }
    this->last_full_report = now;
    this->usage_counter.AddTo(report, this->CurrentLeader().token);
  }
  return report;
}

void FleetExchange::Report() {
  const Instant now = this->context.clock.Now();
  this->last_report = now;
  this->is_report_due = false;
  const Leader leader = this->CurrentLeader();
  const bool is_own = leader.vm == this->context.settings.vm;
  this->context.leader_address = is_own ? "" : leader.address;
  if (leader.vm.empty()) {
    return;
  }
  if (is_own) {
    if (this->PrepareCoordinator(now)) {
      const peer::FleetReport report = this->MakeReport(now);
      this->ObserveLoads(report, now);
      this->Apply(this->MakeResponse(report), now);
    }
    return;
  }
  const peer::FleetReport report = this->MakeReport(now);
  this->in_flight[report.sequence] = now;
  while (this->in_flight.size() > kMaximumInFlight) {
    this->in_flight.erase(this->in_flight.begin());
  }
  this->pacing.OnSent();
  this->socket.SendTo(leader.address, peer::Encode(report));
}

void FleetExchange::ReportLeaving() {
  const Leader leader = this->CurrentLeader();
  if (leader.vm.empty() || leader.vm == this->context.settings.vm) {
    return;
  }
  peer::FleetReport report;
  report.vm = this->context.settings.vm;
  report.sequence = ++this->sequence;
  report.is_leaving = true;
  this->socket.SendTo(leader.address, peer::Encode(report));
}

void FleetExchange::ReportUsageSoon() {
  this->last_full_report = Instant();
  this->ReportSoon();
}

void FleetExchange::ReportSoon() {
  if (std::exchange(this->is_report_due, true)) {
    return;
  }
  const Instant now = this->context.clock.Now();
  const auto since =
      std::chrono::duration_cast<milliseconds>(now - this->last_report);
  this->Schedule(std::max(milliseconds(0), this->pacing.Interval() - since));
}

void FleetExchange::Schedule(milliseconds delay) {
  this->timer.expires_after(delay);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->Report();
    if (!this->is_report_due) {
      // When there is no leader, no report was sent.
      const auto since = std::chrono::floor<milliseconds>(
          this->last_report - this->last_full_report);
      this->Schedule(since < kReportPeriod ? kReportPeriod - since
                                           : kReportPeriod);
    }
  });
}

void FleetExchange::Tick(Instant now) {
  if (!this->PrepareCoordinator(now) ||
      this->announced_token == this->coordinated_token) {
    return;
  }
  this->announced_token = this->coordinated_token;
  peer::FleetResponse announcement;
  announcement.token = this->coordinated_token;
  announcement.leader = this->context.settings.vm;
  announcement.leader_address = this->context.settings.PeerAddress();
  const std::string bytes = peer::Encode(announcement);
  for (const auto& [vm, row] : this->store.Vms()) {
    if (vm != this->context.settings.vm) {
      this->socket.SendTo(row.address, bytes);
    }
  }
}

void FleetExchange::AnnounceRelease() {
  peer::FleetResponse announcement;
  announcement.token = this->coordinated_token;
  announcement.is_released = true;
  const std::string bytes = peer::Encode(announcement);
  for (const auto& [vm, address] : this->reporters) {
    this->socket.Send(bytes, address);
  }
}

void FleetExchange::Announce() {
  peer::FleetResponse response;
  response.token = this->coordinated_token;
  const std::string bytes = peer::Encode(response);
  for (const auto& [vm, address] : this->reporters) {
    this->socket.Send(bytes, address);
  }
}

}  // namespace laburnumkeel::proxy
