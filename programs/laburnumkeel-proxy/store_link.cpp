#include "programs/laburnumkeel-proxy/store_link.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "laburnumkeel/model/store_version.h"
#include "programs/laburnumkeel-proxy/events.h"
#include "programs/laburnumkeel-proxy/fleet_rows.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using kernel::LogEvent;
using platform_adapter::StoreRow;
using platform_adapter::StoreRows;
using std::chrono::milliseconds;
using transport::HttpAnswer;
using transport::HttpCall;

namespace {

// A configuration has to be in force within 3 s. The store responds to the
// leader after kLongPollWait even without changes, which bounds the age of what
// the leader reports.
constexpr milliseconds kLongPollWait{1000};
constexpr milliseconds kOperatorMaxAge{2000};
// A departed endpoint must get no more statements within several seconds.
constexpr milliseconds kLeaderEndpointPollInterval{700};
constexpr milliseconds kEndpointMaxAge{2000};
// A fraction of the times within which configurations and departures have to
// take effect.
constexpr milliseconds kOperatorReadInterval{400};
constexpr milliseconds kEndpointReadInterval{1000};
// When the leader has not answered for this long, the store is read instead.
constexpr milliseconds kLeaderSilence{900};
// Two reads fit into the lifetime of a read lease.
constexpr milliseconds kFleetPollInterval{650};
constexpr milliseconds kLeaderFleetPollInterval{2000};
// Two orders of magnitude above the usual response time of the store.
constexpr milliseconds kCallTimeout{700};
constexpr milliseconds kWriteTimeout{1500};
// A page of rows that still arrives is not given up: the next attempt starts
// from the beginning, over the same link.
constexpr milliseconds kPageTimeout{4000};
constexpr milliseconds kRetryDelay{250};
// Live endpoints whose row expired during a store outage register again within
// about 2 s of its end.
constexpr milliseconds kExpiredEndpointGrace{3000};
// An endpoint behind a cut may hold acknowledged commits for as long as the cut
// lasts.
constexpr std::chrono::hours kUnregisteredRetention{24};
// An endpoint that announced its departure may still run for a while.
constexpr std::chrono::minutes kDepartedRetention{10};
// The row of a live endpoint can expire, unseen by this VM, in a longer time
// without a reading of the table: two heartbeat intervals.
constexpr milliseconds kMaximumReadGap{2400};
// Another VM is asked for rows at most this often, so that configurations in
// quick succession do not fill its link.
constexpr milliseconds kRelayInterval{1000};
constexpr std::size_t kRelayConnections = 64;
// Requests have no body.
constexpr std::size_t kRelayBodyBytes = 1024;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
// A table that is outdated for this long is logged, and again each time that
// doubles.
constexpr milliseconds kOutdatedNotice{1000};
// Operators and databases write again within this time what a restored store
// lacks.
constexpr milliseconds kSettleTime{3000};

// The oldest era among the expected versions; empty when none is expected.
std::optional<std::uint64_t> EraOf(
    const std::vector<platform_adapter::RowExpectation>& expectations) {
  std::optional<std::uint64_t> oldest;
  for (const auto& expectation : expectations) {
    // Version 0 stands for a missing row in any era.
    if (expectation.version > 0) {
      const std::uint64_t row_era = model::EraOf(expectation.version);
      oldest = std::min(oldest.value_or(row_era), row_era);
    }
  }
  return oldest;
}

}  // namespace

StoreLink::StoreLink(ProxyContext& context, Observers observers)
    : context(context),
      observers(std::move(observers)),
      relay_responder(
          context.loop,
          [this](const HttpCall& call) { return this->AnswerVm(call.target); }),
      fleet_channel(context.loop, context.settings.store_address),
      write_channel(context.loop, context.settings.store_address),
      single_read_channel(context.loop, context.settings.store_address) {
  this->operator_rows.table = platform_adapter::kOperatorTable;
  this->operator_rows.max_age = kOperatorMaxAge;
  this->operator_rows.min_read_interval = kOperatorReadInterval;
  this->operator_rows.leader_poll_interval = milliseconds(0);
  this->operator_rows.leader_wait = kLongPollWait;
  this->endpoint_rows.table = platform_adapter::kEndpointTable;
  this->endpoint_rows.max_age = kEndpointMaxAge;
  this->endpoint_rows.min_read_interval = kEndpointReadInterval;
  this->endpoint_rows.leader_poll_interval = kLeaderEndpointPollInterval;
  this->endpoint_rows.leader_wait = milliseconds(0);
  this->operator_rows.departures = &context.evacuations;
  this->operator_rows.answer_delay = kCallTimeout;
  this->endpoint_rows.departures = &context.endpoint_departures;
  for (TableReader* reader : {&this->operator_rows, &this->endpoint_rows}) {
    reader->channel = std::make_unique<transport::HttpChannel>(
        context.loop, context.settings.store_address);
    // Departures before the start of this program are unknown so far.
    reader->departures->OnStoreFailure(context.clock.Now());
  }
}

bool StoreLink::Listen() {
  this->relay_responder.SetLimits(kRelayConnections, kRelayBodyBytes);
  return this->relay_responder.Listen(this->context.settings.PeerAddress());
}

void StoreLink::Tick(Instant now, bool new_is_leader) {
  this->is_leader = new_is_leader;
  this->ReadAgainWhenSettled(now);
  for (TableReader* reader : {&this->operator_rows, &this->endpoint_rows}) {
    this->ObserveOutdated(*reader, now);
    if (this->IsDue(*reader, now)) {
      this->ReadTable(*reader, now);
    }
  }
  if (this->IsFleetDue(now)) {
    this->PollFleet(now);
  }
  this->ForgetUnregisteredEndpoints(now);
  if (this->RemoveExpiredEndpoints()) {
    this->observers.on_change();
  }
}

void StoreLink::OnPeerTableState(const TableState& operator_state,
                                 const TableState& endpoint_state) {
  const Instant now = this->context.clock.Now();
  const auto merge = [&](TableReader& reader, const TableState& peer_state) {
    reader.peer_state.version =
        std::max(reader.peer_state.version, peer_state.version);
    reader.peer_state.read_at =
        std::max(reader.peer_state.read_at, peer_state.read_at);
    this->ConfirmCurrent(reader, peer_state);
    if (this->IsDue(reader, now)) {
      this->ReadTable(reader, now);
    }
  };
  merge(this->operator_rows, operator_state);
  merge(this->endpoint_rows, endpoint_state);
}

void StoreLink::ObserveOutdated(TableReader& reader, Instant now) {
  if (reader.peer_state.version <= reader.version) {
    if (reader.outdated_since != Instant()) {
      this->context.metrics.Observe("table_outdated_ms",
                                    static_cast<double>(kernel::ToMilliseconds(
                                        now - reader.outdated_since)));
    }
    reader.outdated_since = Instant();
    return;
  }
  if (reader.outdated_since == Instant()) {
    reader.outdated_since = now;
    reader.outdated_log_at = now + kOutdatedNotice;
  }
  if (now < reader.outdated_log_at) {
    return;
  }
  reader.outdated_log_at = now + (now - reader.outdated_since);
  const auto& configuration = this->context.configuration;
  LogEvent(
      kTableOutdated,
      {{"table", reader.table},
       {"version", model::VersionText(reader.version)},
       {"leader_version", model::VersionText(reader.peer_state.version)},
       {"configuration", configuration ? configuration->version : 0},
       {"outdated_ms", kernel::ToMilliseconds(now - reader.outdated_since)},
       {"leader_read_ms",
        kernel::ToMilliseconds(now - reader.peer_state.read_at)},
       {"failures", reader.failures},
       {"status", reader.failures > 0 ? reader.failure_status : 0},
       {"reading", reader.channel->IsBusy()}});
}

void StoreLink::ConfirmCurrent(TableReader& reader, const TableState& reading) {
  if (!reader.is_loaded || reading.version > reader.version) {
    return;
  }
  const Instant current_as_of = reading.read_at - reader.answer_delay;
  reader.current_as_of = std::max(reader.current_as_of, current_as_of);
  reader.departures->ConfirmComplete(current_as_of);
  if (&reader != &this->endpoint_rows) {
    return;
  }
  const bool is_first = this->endpoints_current_since == Instant();
  if (is_first ||
      reading.read_at > this->endpoints_current_as_of + kMaximumReadGap) {
    this->RestartEndpointGrace();
  }
  this->endpoints_current_as_of =
      std::max(this->endpoints_current_as_of, reading.read_at);
}

void StoreLink::RestartEndpointGrace() {
  const Instant now = this->context.clock.Now();
  this->endpoints_current_since = now;
  for (auto& [id, since] : this->expired_endpoints) {
    since = now;
  }
}

bool StoreLink::AreEndpointsComplete() const {
  return this->endpoints_current_since != Instant() &&
         this->endpoints_current_as_of >=
             this->endpoints_current_since + kExpiredEndpointGrace &&
         !this->IsSettling();
}

void StoreLink::ObserveEra(const HttpAnswer& answer) {
  const auto header =
      answer.headers.find(std::string(platform_adapter::kEraHeader));
  if (header == answer.headers.end()) {
    return;
  }
  const std::uint64_t new_era = platform_adapter::DecodeEra(header->second);
  if (this->era && new_era > *this->era) {
    LogEvent(
        kStoreRestored,
        {{"era", new_era},
         {"known_era", *this->era},
         {"operator_version", model::VersionText(this->operator_rows.version)},
         {"endpoint_version",
          model::VersionText(this->endpoint_rows.version)}});
    for (TableReader* reader : {&this->operator_rows, &this->endpoint_rows}) {
      reader->is_full_read_due = true;
      reader->load_after.clear();
      reader->loaded_keys.clear();
    }
    this->is_fleet_due = true;
    this->settles_at = this->context.clock.Now() + kSettleTime;
  }
  this->era = std::max(this->era.value_or(0), new_era);
}

void StoreLink::ReadAgainWhenSettled(Instant now) {
  if (this->settles_at == Instant() || now < this->settles_at) {
    return;
  }
  this->settles_at = Instant();
  for (TableReader* reader : {&this->operator_rows, &this->endpoint_rows}) {
    reader->is_full_read_due = true;
    reader->is_due_now = true;
  }
}

bool StoreLink::IsDue(const TableReader& reader, Instant now) const {
  const bool is_asking = reader.relay_channel && reader.relay_channel->IsBusy();
  if (reader.channel->IsBusy() || is_asking || now < reader.retry_at) {
    return false;
  }
  if (&reader == &this->endpoint_rows && !this->context.configuration) {
    // Endpoints are of no use before the services are known.
    return false;
  }
  const bool is_between_pages = !reader.load_after.empty();
  const bool is_restored = model::EraOf(reader.version) < this->Era();
  if (!reader.is_loaded || reader.is_due_now || is_between_pages ||
      is_restored || reader.peer_state.version > reader.version) {
    return true;
  }
  if (this->is_leader) {
    return now >= reader.state.read_at + reader.leader_poll_interval;
  }
  return now >= std::max(reader.state.read_at, reader.peer_state.read_at) +
                    reader.max_age;
}

bool StoreLink::IsComplete() const {
  return this->context.configuration != nullptr &&
         this->endpoint_rows.is_loaded;
}

std::uint64_t StoreLink::PrimaryVersion(const std::string& service) const {
  const auto found = this->primary_versions.find(service);
  return found == this->primary_versions.end() ? 0 : found->second;
}

void StoreLink::OnPrimaryWritten(const std::string& service,
                                 std::uint64_t version) {
  std::uint64_t& known = this->primary_versions[service];
  known = std::max(known, version);
}

void StoreLink::ReadTable(TableReader& reader, Instant now) {
  HttpCall call;
  reader.wait = milliseconds(0);
  const bool is_next_page = !reader.load_after.empty();
  reader.is_reading_in_full = is_next_page || reader.is_full_read_due;
  if (reader.is_reading_in_full) {
    if (!is_next_page) {
      // A full read that becomes due from now on is another one.
      reader.is_full_read_due = false;
      reader.is_due_now = false;
    }
    call.target = platform_adapter::RowsTarget(reader.table, reader.load_after);
    call.progress_timeout = kPageTimeout;
  } else {
    if (this->is_leader) {
      reader.wait = reader.leader_wait;
    }
    call.target = platform_adapter::FeedTarget(reader.table, reader.version,
                                               reader.wait.count());
  }
  call.timeout = kCallTimeout + reader.wait;
  reader.called_at = now;
  reader.called_era = this->era;
  this->context.metrics.Count("store_reads");
  reader.channel->Send(call, [this, &reader](const HttpAnswer& answer) {
    const bool had_configuration = this->context.configuration != nullptr;
    this->OnTableRead(reader, answer);
    const Instant answered = this->context.clock.Now();
    if (!had_configuration && this->context.configuration) {
      // The other tables are due from now on.
      this->Tick(answered, this->is_leader);
    }
    if (this->IsDue(reader, answered)) {
      this->ReadTable(reader, answered);
    }
  });
}

void StoreLink::OnTableRead(TableReader& reader, const HttpAnswer& answer) {
  this->ObserveEra(answer);
  if (reader.called_era && reader.called_era != this->era) {
    // The call asked for changes after a version that was given out again, or
    // for the next page of rows that are gone.
    return;
  }
  if (answer.status == platform_adapter::kHistoryGone) {
    LogEvent(kHistoryDropped,
             {{"table", reader.table},
              {"version", model::VersionText(reader.version)}});
    reader.is_loaded = false;
    reader.is_full_read_due = true;
    reader.load_after.clear();
    reader.loaded_keys.clear();
    return;
  }
  std::optional<StoreRows> rows;
  if (answer.status == HttpAnswer::kOk) {
    rows = platform_adapter::DecodeRows(answer.body, this->Era());
  }
  if (!rows) {
    this->OnReadFailed(reader, answer);
    return;
  }
  this->context.metrics.Observe("store_read_bytes",
                                static_cast<double>(answer.received_bytes));
  if (const auto failures = std::exchange(reader.failures, 0); failures > 0) {
    LogEvent(kStoreRegained, {{"table", reader.table},
                              {"failures", failures},
                              {"version", model::VersionText(reader.version)},
                              {"in_full", reader.is_reading_in_full},
                              {"rows", rows->rows.size()},
                              {"received_bytes", answer.received_bytes}});
    // Rows may have expired and been written again during the outage, so the
    // grace period restarts.
    for (auto& [id, since] : this->expired_endpoints) {
      since = this->context.clock.Now();
    }
  }
  this->TakeRows(reader, *rows, reader.called_at, "store");
}

void StoreLink::TakeRows(TableReader& reader, const StoreRows& page,
                         Instant called_at, std::string_view source) {
  const bool is_first_page = reader.load_after.empty();
  if (is_first_page) {
    reader.first_page_version = page.store_version;
    reader.first_page_called_at = called_at;
  }
  for (const StoreRow& row : page.rows) {
    if (this->Apply(reader, row)) {
      reader.has_changed = true;
      reader.state.version = std::max(reader.state.version, row.version);
    }
    if (row.is_removed) {
      reader.rows.erase(row.key);
    } else {
      reader.rows[row.key] = row;
    }
    if (reader.is_reading_in_full) {
      reader.loaded_keys.push_back(row.key);
    }
  }
  if (reader.is_reading_in_full && page.has_more && !page.rows.empty()) {
    reader.load_after = page.rows.back().key;
    return;
  }
  if (reader.is_reading_in_full) {
    const bool is_first_of_era =
        model::EraOf(reader.version) < model::EraOf(page.store_version);
    if (this->ExpireMissingRows(reader) || is_first_of_era) {
      // Other VMs read the table when its reported version grows.
      reader.has_changed = true;
      reader.state.version = std::max(reader.state.version, page.store_version);
    }
    LogEvent(kTableReadInFull,
             {{"table", reader.table},
              {"source", source},
              {"rows", reader.loaded_keys.size()},
              {"known_version", model::VersionText(reader.version)},
              {"store_version", model::VersionText(page.store_version)}});
    if (!this->IsSettling()) {
      const std::set<std::string> keys(reader.loaded_keys.begin(),
                                       reader.loaded_keys.end());
      std::erase_if(reader.rows, [&](const auto& entry) {
        return !keys.contains(entry.first);
      });
    }
    reader.loaded_keys.clear();
    reader.load_after.clear();
    reader.is_loaded = true;
  }
  const Instant now = this->context.clock.Now();
  reader.version = std::max(reader.version, reader.first_page_version);
  // Without a wait the answer may be as old as the call.
  reader.state.read_at =
      reader.wait == milliseconds(0) ? reader.first_page_called_at : now;
  this->ConfirmCurrent(reader, reader.state);
  if (!this->is_leader) {
    reader.retry_at = now + reader.min_read_interval;
  }
  if (std::exchange(reader.has_changed, false)) {
    this->observers.on_change();
  }
}

void StoreLink::OnReadFailed(TableReader& reader, const HttpAnswer& answer) {
  const Instant now = this->context.clock.Now();
  ++reader.failures;
  this->context.metrics.Count("store_reads_failed");
  const bool is_first = reader.failures == 1;
  // Every failure that tells something new, and ever fewer of the others.
  if (is_first || answer.status != reader.failure_status ||
      std::has_single_bit(reader.failures)) {
    LogEvent(is_first ? kStoreLost : kTableReadFailed,
             {{"table", reader.table},
              {"status", answer.status},
              {"failures", reader.failures},
              {"version", model::VersionText(reader.version)},
              {"leader_version", model::VersionText(reader.peer_state.version)},
              {"in_full", reader.is_reading_in_full},
              {"elapsed_ms", kernel::ToMilliseconds(now - reader.called_at)},
              {"received_bytes", answer.received_bytes}});
  }
  reader.failure_status = answer.status;
  // A page that was not read is requested again.
  reader.is_full_read_due |= reader.load_after.empty();
  reader.departures->OnStoreFailure(reader.called_at);
  reader.retry_at = now + kRetryDelay;
  if (!this->is_leader && now >= reader.relay_at &&
      reader.peer_state.version > reader.version) {
    this->AskVm(reader);
  }
}

void StoreLink::AskVm(TableReader& reader) {
  const platform_adapter::ProxySettings& settings = this->context.settings;
  const std::string address =
      this->relay_sources.Next(this->vms, settings.vm, settings.data_centre,
                               this->context.leader_address);
  if (address.empty()) {
    return;
  }
  if (!reader.relay_channel || reader.relay_address != address) {
    reader.relay_channel =
        std::make_unique<transport::HttpChannel>(this->context.loop, address);
    reader.relay_address = address;
  }
  HttpCall call;
  call.target = EncodeTarget({reader.table, reader.peer_state.version});
  call.timeout = kCallTimeout;
  call.progress_timeout = kPageTimeout;
  const Instant sent = this->context.clock.Now();
  reader.relay_at = sent + kRelayInterval;
  this->context.metrics.Count("rows_asked_of_vms");
  reader.relay_channel->Send(call,
                             [this, &reader, sent](const HttpAnswer& answer) {
                               this->OnVmAnswer(reader, answer, sent);
                             });
}

void StoreLink::OnVmAnswer(TableReader& reader, const HttpAnswer& answer,
                           Instant sent) {
  std::optional<RelayedRows> relayed;
  if (answer.status == HttpAnswer::kOk) {
    relayed = DecodeRelayed(answer.body);
  }
  // Of another era, versions cannot be compared.
  const bool is_usable = relayed && relayed->version > reader.version &&
                         model::EraOf(relayed->version) == this->Era();
  LogEvent(
      is_usable ? kRowsRelayed : kRelayFailed,
      {{"table", reader.table},
       {"address", reader.relay_address},
       {"status", answer.status},
       {"version", model::VersionText(reader.version)},
       {"relayed_version", model::VersionText(relayed ? relayed->version : 0)},
       {"received_bytes", answer.received_bytes}});
  if (!is_usable) {
    // The next one is asked after the next failure.
    reader.relay_at = Instant();
    return;
  }
  reader.is_reading_in_full = true;
  reader.is_full_read_due = true;
  reader.load_after.clear();
  reader.loaded_keys.clear();
  reader.wait = milliseconds(0);
  StoreRows page;
  page.rows = std::move(relayed->rows);
  page.store_version = relayed->version;
  this->TakeRows(reader, page, sent - relayed->age, "vm");
}

HttpAnswer StoreLink::AnswerVm(const std::string& target) const {
  const auto request = DecodeTarget(target);
  for (const TableReader* reader :
       {&this->operator_rows, &this->endpoint_rows}) {
    if (!request || request->table != reader->table) {
      continue;
    }
    // The rows that a restored store lacks are among those kept.
    const bool is_usable = reader->is_loaded && !this->IsSettling() &&
                           reader->version >= request->version &&
                           model::EraOf(reader->version) == this->Era();
    if (!is_usable) {
      return {kStatusUnavailable, ""};
    }
    RelayedRows relayed;
    relayed.version = reader->version;
    relayed.age = std::chrono::ceil<std::chrono::microseconds>(
        this->context.clock.Now() - reader->current_as_of);
    for (const auto& [key, row] : reader->rows) {
      relayed.rows.push_back(row);
    }
    return {HttpAnswer::kOk, EncodeRelayed(relayed)};
  }
  return {kStatusNotFound, ""};
}

bool StoreLink::Apply(TableReader& reader, const StoreRow& row) {
  return &reader == &this->endpoint_rows ? this->ApplyEndpoint(row)
                                         : this->ApplyOperatorRow(row);
}

bool StoreLink::ApplyOperatorRow(const StoreRow& row) {
  if (row.key == platform_adapter::kConfigurationKey) {
    return this->ApplyConfiguration(row);
  }
  if (!row.key.starts_with(platform_adapter::kEvacuationPrefix)) {
    return false;
  }
  const std::string data_centre =
      row.key.substr(platform_adapter::kEvacuationPrefix.size());
  const bool has_changed = row.is_removed
                               ? this->context.evacuations.End(data_centre)
                               : this->context.evacuations.Begin(data_centre);
  if (has_changed) {
    LogEvacuation(data_centre, !row.is_removed, row.version);
  }
  return has_changed;
}

void StoreLink::LogEvacuation(const std::string& data_centre, bool is_evacuated,
                              std::uint64_t version) {
  LogEvent(kEvacuationChanged, {{"data_centre", data_centre},
                                {"evacuated", is_evacuated},
                                {"row_version", model::VersionText(version)}});
}

bool StoreLink::ApplyConfiguration(const StoreRow& row) {
  if (row.is_removed) {
    return false;
  }
  auto decoded = platform_adapter::DecodeConfiguration(row.value);
  if (!decoded) {
    LogEvent(kRowIgnored, {{"key", row.key},
                           {"row_version", model::VersionText(row.version)}});
    return false;
  }
  const auto& current = this->context.configuration;
  if (current && decoded->version <= current->version) {
    return false;
  }
  LogEvent(kConfigurationInForce,
           {{"version", decoded->version},
            {"row_version", model::VersionText(row.version)},
            {"routes", decoded->routes.size()}});
  this->context.configuration =
      std::make_shared<const model::ProxyConfiguration>(std::move(*decoded));
  return true;
}

bool StoreLink::ApplyEndpoint(const StoreRow& row) {
  auto& endpoints = this->context.endpoints;
  std::optional<model::DatabaseEndpoint> decoded;
  if (!row.is_removed) {
    decoded = platform_adapter::DecodeEndpoint(row.key, row.value);
  }
  const auto known = endpoints.find(row.key);
  if (row.is_removed || decoded) {
    this->ignored_endpoints.erase(row.key);
  } else if (this->ignored_endpoints.insert(row.key).second) {
    // Its writer may write it again and again.
    LogEvent(kRowIgnored, {{"key", row.key},
                           {"row_version", model::VersionText(row.version)}});
  }
  if (!decoded) {
    return known != endpoints.end() && this->ExpireEndpoint(row.key);
  }
  if (decoded->is_draining) {
    this->draining_since.try_emplace(row.key, this->context.clock.Now());
  } else {
    this->draining_since.erase(row.key);
  }
  if (this->IsSettling() &&
      this->context.endpoint_departures.Contains(row.key)) {
    // The copy may be older than the departure.
    decoded->is_draining = true;
  }
  const bool has_returned = this->expired_endpoints.erase(row.key) > 0;
  // An endpoint at the same address has taken the place of an earlier one.
  std::erase_if(this->context.unregistered_endpoints, [&](const auto& entry) {
    return entry.first == row.key ||
           entry.second.endpoint.address == decoded->address;
  });
  if (decoded->is_draining) {
    this->BeginDeparture(row.key, "draining");
  } else {
    this->context.endpoint_departures.End(row.key);
  }
  if (known != endpoints.end() && known->second == *decoded) {
    return has_returned;
  }
  LogEvent(kEndpointChanged,
           {{"endpoint", row.key},
            {"service", decoded->service},
            {"address", decoded->address},
            {"data_centre", decoded->data_centre},
            {"draining", decoded->is_draining},
            {"primary", decoded->claims_primary},
            {"row_version", model::VersionText(row.version)}});
  endpoints[row.key] = std::move(*decoded);
  return true;
}

bool StoreLink::ExpireEndpoint(const std::string& id) {
  this->BeginDeparture(id, "gone");
  return this->expired_endpoints.try_emplace(id, this->context.clock.Now())
      .second;
}

void StoreLink::BeginDeparture(const std::string& id, std::string_view state) {
  routing::DepartureTable& departures = this->context.endpoint_departures;
  const Instant complete_as_of = departures.CompleteAsOf();
  if (departures.Begin(id)) {
    LogEvent(kEndpointLeaving,
             {{"endpoint", id},
              {"state", state},
              {"unknown_ms", kernel::ToMilliseconds(this->context.clock.Now() -
                                                    complete_as_of)}});
  }
}

bool StoreLink::ExpireMissingRows(const TableReader& reader) {
  if (this->IsSettling()) {
    // The copy may be older than the rows.
    return false;
  }
  const auto is_present = [&](const std::string& key) {
    return std::find(reader.loaded_keys.begin(), reader.loaded_keys.end(),
                     key) != reader.loaded_keys.end();
  };
  bool has_changed = false;
  if (&reader == &this->endpoint_rows) {
    for (const auto& [id, endpoint] : this->context.endpoints) {
      has_changed |= !is_present(id) && this->ExpireEndpoint(id);
    }
    return has_changed;
  }
  for (const std::string& data_centre : this->context.evacuations.Names()) {
    if (!is_present(std::string(platform_adapter::kEvacuationPrefix) +
                    data_centre)) {
      this->context.evacuations.End(data_centre);
      LogEvacuation(data_centre, false, reader.version);
      has_changed = true;
    }
  }
  return has_changed;
}

bool StoreLink::RemoveExpiredEndpoints() {
  const std::size_t removed =
      std::erase_if(this->expired_endpoints, [&](const auto& entry) {
        // In a reading from before, the endpoint may just not be back yet.
        if (this->endpoints_current_as_of <
            entry.second + kExpiredEndpointGrace) {
          return false;
        }
        LogEvent(kEndpointChanged, {{"endpoint", entry.first}, {"gone", true}});
        this->Unregister(entry.first);
        this->context.endpoint_departures.End(entry.first);
        return true;
      });
  return removed > 0;
}

void StoreLink::Unregister(const std::string& id) {
  const auto known = this->context.endpoints.extract(id);
  const auto draining = this->draining_since.extract(id);
  // An address has one owner: the process at the other end has ended.
  if (!known.empty() && !this->HasRegistered(known.mapped().address)) {
    this->context.unregistered_endpoints[id] = {
        known.mapped(), this->context.clock.Now(),
        draining.empty() ? std::nullopt : std::optional(draining.mapped())};
  }
}

bool StoreLink::HasRegistered(const std::string& address) const {
  return std::any_of(
      this->context.endpoints.begin(), this->context.endpoints.end(),
      [&](const auto& entry) { return entry.second.address == address; });
}

void StoreLink::ForgetUnregisteredEndpoints(Instant now) {
  std::erase_if(this->context.unregistered_endpoints, [&](const auto& entry) {
    const UnregisteredEndpoint& unregistered = entry.second;
    return now >=
           unregistered.since + (unregistered.draining_since
                                     ? kernel::Duration(kDepartedRetention)
                                     : kUnregisteredRetention);
  });
}

std::int64_t StoreLink::StoreNowMs(Instant now) const {
  if (this->store_clock_ms == 0) {
    return 0;
  }
  // Measured from when the call was sent, so the estimate is never too low.
  return this->store_clock_ms +
         kernel::ToMilliseconds(now - this->store_clock_sent);
}

bool StoreLink::IsFleetDue(Instant now) const {
  // Without a configuration, no VM can lead or needs a primary.
  if (this->fleet_channel.IsBusy() || !this->context.configuration) {
    return false;
  }
  if (this->is_fleet_due) {
    return true;
  }
  const Instant next =
      this->fleet_called_at +
      (this->is_leader ? kLeaderFleetPollInterval : kFleetPollInterval);
  const bool is_leader_responsive =
      !this->is_leader &&
      now < this->context.leader_last_contact + kLeaderSilence;
  return now >= next && (!is_leader_responsive || !this->HasReadFleetInEra());
}

void StoreLink::PollFleet(Instant now) {
  this->is_fleet_due = false;
  this->fleet_called_at = now;
  this->fleet_called_era = this->era;
  this->loaded_vms.clear();
  this->loaded_primaries.clear();
  this->loaded_members.clear();
  this->ReadFleetPage("");
}

void StoreLink::ReadFleetPage(const std::string& after) {
  const Instant sent = this->context.clock.Now();
  HttpCall call;
  call.target = platform_adapter::RowsTarget(kFleetTable, after);
  call.timeout = kCallTimeout;
  call.progress_timeout = kPageTimeout;
  this->context.metrics.Count("store_reads");
  this->fleet_channel.Send(call, [this, sent](const HttpAnswer& answer) {
    this->OnFleetPage(answer, sent);
  });
}

void StoreLink::OnFleetPage(const HttpAnswer& answer, Instant sent) {
  this->ObserveEra(answer);
  if (this->fleet_called_era && this->fleet_called_era != this->era) {
    // Pages of two eras do not make up a table.
    this->is_fleet_due = true;
    return;
  }
  std::optional<StoreRows> rows;
  if (answer.status == HttpAnswer::kOk) {
    rows = platform_adapter::DecodeRows(answer.body, this->Era());
  }
  if (!rows) {
    this->context.metrics.Count("store_reads_failed");
    return;
  }
  this->store_clock_ms = rows->store_now_ms;
  this->store_clock_sent = sent;
  // The row of the leader lease sorts before all others.
  bool has_leader = !this->loaded_vms.empty();
  if (this->loaded_vms.empty()) {
    this->fleet_version = rows->store_version;
  }
  bool has_changed = false;
  for (const StoreRow& row : rows->rows) {
    if (row.key == kLeaderKey) {
      if (const auto record = DecodeLeader(row.value)) {
        has_leader = true;
        this->observers.on_leader(&*record, row.version, rows->store_now_ms);
      }
    } else if (row.key.starts_with(kPrimaryKeyPrefix)) {
      has_changed |= this->ApplyPrimary(row, sent);
    } else if (row.key.starts_with(kMembersKeyPrefix)) {
      has_changed |= this->ApplyMembers(row);
    } else if (row.key.starts_with(kVmKeyPrefix)) {
      // A row that cannot be read still counts as a VM with a share.
      this->loaded_vms[row.key.substr(kVmKeyPrefix.size())] =
          DecodeVm(row.value).value_or(VmRow());
    }
  }
  if (!has_leader) {
    this->observers.on_leader(nullptr, rows->store_version, rows->store_now_ms);
  }
  if (rows->has_more && !rows->rows.empty()) {
    this->ReadFleetPage(rows->rows.back().key);
  } else {
    this->OnFleetRead(sent);
  }
  if (has_changed) {
    this->observers.on_change();
  }
}

bool StoreLink::ApplyPrimary(const StoreRow& row, Instant sent) {
  const std::string service = row.key.substr(kPrimaryKeyPrefix.size());
  const auto record = DecodePrimary(service, row.version, row.value);
  if (!record) {
    LogEvent(kRowIgnored, {{"key", row.key}});
    return false;
  }
  this->OnPrimaryWritten(service, row.version);
  this->loaded_primaries.insert(service);
  const bool has_changed = this->context.primaries.Adopt(*record);
  if (has_changed) {
    LogEvent(kPrimaryAdopted,
             {{"service", service},
              {"endpoint", record->endpoint_id},
              {"term", record->term},
              {"changing", record->is_changing},
              {"row_version", model::VersionText(row.version)}});
  }
  this->context.primaries.Confirm(service, row.version, sent);
  return has_changed;
}

bool StoreLink::ApplyMembers(const StoreRow& row) {
  const std::string service = row.key.substr(kMembersKeyPrefix.size());
  const auto listed = DecodeMembers(service, row.value);
  MembersRow& members_row = this->loaded_members[service];
  members_row.version = row.version;
  if (!listed) {
    LogEvent(kRowIgnored, {{"key", row.key}});
    return false;
  }
  bool has_changed = false;
  for (const model::DatabaseEndpoint& endpoint : *listed) {
    members_row.ids.push_back(endpoint.id);
    const bool is_known =
        this->context.endpoints.contains(endpoint.id) ||
        this->context.unregistered_endpoints.contains(endpoint.id) ||
        this->HasRegistered(endpoint.address);
    // Before the table of endpoints was read, none of them is known.
    if (is_known || this->endpoints_current_since == Instant()) {
      continue;
    }
    LogEvent(kMemberUnregistered,
             {{"service", service},
              {"endpoint", endpoint.id},
              {"row_version", model::VersionText(row.version)}});
    this->context.unregistered_endpoints[endpoint.id] = {
        endpoint, this->context.clock.Now(), std::nullopt};
    has_changed = true;
  }
  return has_changed;
}

const StoreLink::MembersRow* StoreLink::FindMembers(
    const std::string& service) const {
  const auto found = this->members.find(service);
  return found == this->members.end() ? nullptr : &found->second;
}

void StoreLink::OnMembersWritten(const std::string& service, MembersRow row) {
  this->members[service] = std::move(row);
}

void StoreLink::OnFleetRead(Instant sent) {
  this->fleet_read_sent = sent;
  this->fleet_read_era = this->era;
  this->ForgetMissingPrimaries();
  this->vms = std::exchange(this->loaded_vms, {});
  this->members = std::exchange(this->loaded_members, {});
  this->context.vm_count = std::max<int>(1, static_cast<int>(this->vms.size()));
  const auto own = this->vms.find(this->context.settings.vm);
  // A VM may come back under its name at another address.
  if (own == this->vms.end() || !(own->second == this->OwnRow())) {
    this->RegisterVm();
  }
}

void StoreLink::ForgetMissingPrimaries() {
  std::erase_if(this->primary_versions, [this](const auto& entry) {
    // A row that was written after the first page was read is not missing.
    return entry.second <= this->fleet_version &&
           !this->loaded_primaries.contains(entry.first);
  });
}

std::set<std::string> StoreLink::VmNames() const {
  std::set<std::string> names;
  for (const auto& [name, row] : this->vms) {
    names.insert(name);
  }
  return names;
}

bool StoreLink::IsLargestVm() const {
  return std::all_of(this->vms.begin(), this->vms.end(),
                     [this](const auto& entry) {
                       return entry.second.processor_share <=
                              this->context.settings.processor_share;
                     });
}

VmRow StoreLink::OwnRow() const {
  return {this->context.settings.PeerAddress(),
          this->context.settings.processor_share,
          this->context.settings.data_centre};
}

void StoreLink::RegisterVm() {
  this->Write(
      [this] {
        return Transaction{
            {},
            {{std::string(kFleetTable),
              std::string(kVmKeyPrefix) + this->context.settings.vm,
              EncodeVm(this->OwnRow())}}};
      },
      [](const WriteOutcome&) {});
}

void StoreLink::Write(
    std::function<std::optional<Transaction>()> make_transaction,
    std::function<void(const WriteOutcome&)> handler) {
  this->writes.push_back(
      {std::move(make_transaction), std::move(handler), std::nullopt});
  if (this->writes.size() == 1) {
    this->SendNextWrite();
  }
}

bool StoreLink::ReadTableOnce(
    std::string_view table,
    std::function<void(const std::optional<StoreRows>&)> handler) {
  if (this->single_read_channel.IsBusy()) {
    return false;
  }
  HttpCall call;
  call.target = platform_adapter::RowsTarget(table, "");
  call.timeout = kCallTimeout;
  call.progress_timeout = kPageTimeout;
  this->context.metrics.Count("store_reads");
  this->single_read_channel.Send(
      call, [this, called_era = this->era,
             handler = std::move(handler)](const HttpAnswer& answer) {
        this->ObserveEra(answer);
        std::optional<StoreRows> rows;
        if (answer.status == HttpAnswer::kOk &&
            (!called_era || called_era == this->era)) {
          rows = platform_adapter::DecodeRows(answer.body, this->Era());
        }
        if (!rows) {
          this->context.metrics.Count("store_reads_failed");
        }
        handler(rows);
      });
  return true;
}

bool StoreLink::IsOutdated(const PendingWrite& write) const {
  return write.expected_era && *write.expected_era < this->Era();
}

void StoreLink::SendNextWrite() {
  PendingWrite& write = this->writes.front();
  const std::optional<Transaction> transaction = write.make_transaction();
  if (transaction) {
    write.expected_era = EraOf(transaction->expectations);
  }
  if (!transaction || this->IsOutdated(write)) {
    // The versions may have been given out again, to other rows' contents.
    this->FinishWrite({WriteOutcome::Kind::kConflict, 0});
    return;
  }
  HttpCall call;
  call.method = "POST";
  call.target = platform_adapter::kTransactionTarget;
  call.body = platform_adapter::EncodeTransaction(transaction->expectations,
                                                  transaction->writes);
  call.timeout = kWriteTimeout;
  this->context.metrics.Count("store_writes");
  this->write_channel.Send(call, [this](const HttpAnswer& answer) {
    this->ObserveEra(answer);
    WriteOutcome outcome;
    if (answer.status == HttpAnswer::kOk &&
        !this->IsOutdated(this->writes.front())) {
      const auto rows = platform_adapter::DecodeRows(answer.body, this->Era());
      outcome.kind =
          rows ? WriteOutcome::Kind::kDone : WriteOutcome::Kind::kUnknown;
      outcome.version = rows ? rows->store_version : 0;
    } else if (answer.status == platform_adapter::kTransactionConflict) {
      outcome.kind = WriteOutcome::Kind::kConflict;
    }
    this->FinishWrite(outcome);
  });
}

void StoreLink::FinishWrite(const WriteOutcome& outcome) {
  const auto handler = std::move(this->writes.front().handler);
  // The call stays in the queue meanwhile, so a write by the handler waits for
  // its turn.
  handler(outcome);
  this->writes.pop_front();
  if (!this->writes.empty()) {
    this->SendNextWrite();
  }
}

}  // namespace laburnumkeel::proxy
