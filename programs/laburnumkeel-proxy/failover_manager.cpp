#include "programs/laburnumkeel-proxy/failover_manager.h"

#include <algorithm>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "laburnumkeel/model/store_version.h"
#include "platform/promotion_call.h"
#include "programs/laburnumkeel-proxy/events.h"
#include "programs/laburnumkeel-proxy/fleet_rows.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using kernel::LogEvent;
using promotion::ChangeAction;
using promotion::ChangeMember;
using promotion::ChangeStep;
using std::chrono::milliseconds;
using WriteOutcome = StoreLink::WriteOutcome;

namespace {

constexpr milliseconds kPrimaryQueryPeriod{400};
constexpr milliseconds kQueryTimeout{700};
// Without a response for this long a change is announced early, because the
// VMs' read leases take time to expire. Without one for kFailureTimeout the
// primary counts as failed. A false suspicion costs a change of primary but
// breaks no guarantee to clients.
constexpr milliseconds kSuspectTimeout{800};
constexpr milliseconds kFailureTimeout{1200};
// An announced change that cannot proceed is cancelled after this time.
constexpr milliseconds kCancelTimeout{2500};
constexpr milliseconds kReplicaQueryPeriod{800};
// Endpoints that are known to be missing are queried for their return only.
constexpr milliseconds kMissingQueryPeriod{5000};
// A crashed primary comes back with its log within several seconds. With the
// time until the change has started, well below the 14 s within which it has to
// be over.
constexpr milliseconds kCommitWaitTimeout{9000};
constexpr milliseconds kMemberQueryPeriod{100};
// Endpoints that are replaced in turn are written together.
constexpr milliseconds kMembersWritePeriod{1000};
// Endpoints are asked again which of them is the primary after this time.
constexpr milliseconds kClaimPeriod{1000};
// How long a registered endpoint that does not reply holds up the first
// publication.
constexpr milliseconds kFirstClaimWait{8000};
// Endpoints that are neither registered nor respond take a connection attempt
// for each query.
constexpr milliseconds kSilentQueryPeriod{1000};
// Log entries that the former primary had sent when it stepped down arrive
// within this time; covers round trips between regions.
constexpr milliseconds kCatchUpTime{300};
// After this time the VMs in touch with the leader know a new record of a
// primary.
constexpr milliseconds kRecordDelivery{600};
// Added to the lifetime of read leases to allow for clock drift.
constexpr milliseconds kReadLeaseMargin{100};
// The platform carries out a promotion some hundred milliseconds after the
// call.
constexpr milliseconds kPromotionRetryDelay{700};

const LeaderDuty kPromotionDuty{"promotion", "service", "endpoint",
                                kPromotionCalled, kPromotionCallEnded};

std::string PositionText(const model::LogPosition& position) {
  return std::to_string(position.term) + "." +
         std::to_string(position.position);
}

// The end of an endpoint's log; zero while that is not known.
model::LogPosition ReceivedBy(const ServiceChange& change,
                              const std::string& endpoint_id) {
  const auto found = change.members.find(endpoint_id);
  return found == change.members.end() ? model::LogPosition()
                                       : found->second.received;
}

}  // namespace

FailoverManager::FailoverManager(
    ProxyContext& context, StoreLink& store, Leadership& leadership,
    std::function<ServicePool&(const std::string&)> find_pool,
    std::function<void()> on_published)
    : context(context),
      store(store),
      leadership(leadership),
      find_pool(std::move(find_pool)),
      on_published(std::move(on_published)) {
  this->leadership.AddObserver([this] { this->watches.clear(); });
}

void FailoverManager::Tick(Instant now) {
  if (!this->context.configuration || !this->leadership.MayAct(now)) {
    return;
  }
  for (const auto& [service, definition] :
       this->context.configuration->services) {
    this->WatchService(service, now);
  }
}

ServiceWatch* FailoverManager::FindChanging(const std::string& service) {
  const auto found = this->watches.find(service);
  return found == this->watches.end() || !found->second.change ? nullptr
                                                               : &found->second;
}

void FailoverManager::WatchService(const std::string& service, Instant now) {
  const auto [entry, is_new] = this->watches.try_emplace(service);
  ServiceWatch& watch = entry->second;
  if (is_new) {
    watch.last_response = now;
  }
  const routing::PrimaryRecord* record = this->context.primaries.Find(service);
  if (record == nullptr) {
    watch.last_response = now;
    this->CheckClaims(service, watch, now);
    return;
  }
  if (watch.change) {
    this->AdvanceChange(service, watch, now);
    return;
  }
  this->PublishAfterRestore(*record, watch);
  watch.last_response =
      std::max(watch.last_response,
               this->find_pool(service).LastContact(record->endpoint_id));
  this->QueryPrimary(service, watch, now);
  this->QueryReplicas(service, watch, now);
  this->WriteMembers(service, watch, now);
  this->StartChangeIfNeeded(service, watch, now);
}

bool FailoverManager::CheckClaims(const std::string& service,
                                  ServiceWatch& watch, Instant now) {
  ClaimRound& claims = watch.claims;
  if (watch.is_publishing || !claims.pending.empty()) {
    return true;
  }
  const routing::PrimaryRecord* record = this->context.primaries.Find(service);
  const bool is_claimed = std::any_of(
      this->context.endpoints.begin(), this->context.endpoints.end(),
      [&](const auto& entry) {
        return entry.second.service == service && entry.second.claims_primary &&
               (record == nullptr || entry.first != record->endpoint_id);
      });
  if (!is_claimed || now < claims.started + kClaimPeriod) {
    return false;
  }
  claims.started = now;
  claims.members.clear();
  if (record == nullptr && !claims.waiting_since) {
    claims.waiting_since = now;
  }
  for (const auto& [id, endpoint] : this->context.endpoints) {
    if (endpoint.service == service) {
      (endpoint.claims_primary ? claims.claimants : claims.pending).insert(id);
    }
  }
  if (claims.pending.empty()) {
    this->AskClaimants(service, claims);
  } else {
    this->AskPending(service, claims);
  }
  return true;
}

void FailoverManager::AskClaimants(const std::string& service,
                                   ClaimRound& claims) {
  claims.committed = this->find_pool(service).Committed();
  for (const ChangeMember& member : claims.members) {
    claims.committed = std::max(claims.committed, member.received);
  }
  claims.pending = std::exchange(claims.claimants, {});
  this->AskPending(service, claims);
}

void FailoverManager::AskPending(const std::string& service,
                                 const ClaimRound& claims) {
  for (const std::string& id : std::set<std::string>(claims.pending)) {
    this->find_pool(service).RunInternal(
        id, platform_adapter::StatusText(), kQueryTimeout,
        [this, service,
         id](const std::optional<statements::EndpointReply>& reply) {
          this->OnClaimReply(service, id, reply);
        });
  }
}

void FailoverManager::OnClaimReply(
    const std::string& service, const std::string& endpoint_id,
    const std::optional<statements::EndpointReply>& reply) {
  const auto found = this->watches.find(service);
  if (found == this->watches.end()) {
    return;
  }
  ServiceWatch& watch = found->second;
  if (watch.claims.pending.erase(endpoint_id) == 0) {
    // The reply is to a question of before this VM lost the leader lease.
    return;
  }
  const auto state =
      reply ? platform_adapter::DecodeEndpointState(reply->rows) : std::nullopt;
  if (state) {
    ChangeMember member;
    member.id = endpoint_id;
    member.has_answered = true;
    member.is_primary = state->is_primary;
    member.term = state->term;
    member.received = state->received;
    watch.claims.members.push_back(member);
  }
  if (!watch.claims.pending.empty()) {
    return;
  }
  if (!watch.claims.claimants.empty()) {
    this->AskClaimants(service, watch.claims);
    return;
  }
  if (!watch.change && !watch.is_publishing &&
      this->leadership.MayAct(this->context.clock.Now())) {
    this->PublishClaimant(service, watch);
  }
}

void FailoverManager::PublishClaimant(const std::string& service,
                                      ServiceWatch& watch) {
  const routing::PrimaryRecord* record = this->context.primaries.Find(service);
  if (record != nullptr &&
      this->context.endpoints.contains(record->endpoint_id)) {
    return;
  }
  const ClaimRound& claims = watch.claims;
  const auto registered = std::count_if(
      this->context.endpoints.begin(), this->context.endpoints.end(),
      [&](const auto& entry) { return entry.second.service == service; });
  const bool have_all_replied =
      std::cmp_equal(claims.members.size(), registered);
  const Instant now = this->context.clock.Now();
  // Without a published term, the one that does not reply may be the primary.
  if (record == nullptr && !have_all_replied &&
      now < claims.waiting_since.value_or(now) + kFirstClaimWait) {
    return;
  }
  const model::Term published_term = record == nullptr ? 0 : record->term;
  const std::optional<ChangeMember> primary = promotion::FindPrimary(
      {claims.members, std::max(published_term, watch.term),
       // Without a record nobody else could take over.
       record == nullptr ? model::LogPosition() : claims.committed});
  if (!primary) {
    return;
  }
  LogEvent(kChangeEnded,
           {{"service", service},
            {"endpoint", primary->id},
            {"term", primary->term},
            {"reason", "another endpoint already is the primary"}});
  watch.is_publishing = true;
  routing::PrimaryRecord claimed{service, primary->id, primary->term, false, 0};
  claimed.committed = std::min(claims.committed, primary->received);
  this->WritePrimary(claimed, [this, service](bool) {
    const auto published = this->watches.find(service);
    if (published != this->watches.end()) {
      published->second.is_publishing = false;
      published->second.replicas.clear();
      published->second.last_response = this->context.clock.Now();
    }
  });
}

void FailoverManager::PublishAfterRestore(const routing::PrimaryRecord& record,
                                          ServiceWatch& watch) {
  // A write needs the versions of the present era.
  if (record.store_era >= this->store.Era() || watch.is_publishing ||
      !this->store.HasReadFleetInEra()) {
    return;
  }
  LogEvent(kPrimaryPublishedAgain,
           {{"service", record.service},
            {"endpoint", record.endpoint_id},
            {"term", record.term},
            {"row_version", model::VersionText(record.version)}});
  watch.is_publishing = true;
  this->WritePrimary(record, [this, service = record.service](bool) {
    this->watches[service].is_publishing = false;
  });
}

void FailoverManager::WritePrimary(routing::PrimaryRecord record,
                                   std::function<void(bool)> handler) {
  record.store_era = this->store.Era();
  const std::string key = std::string(kPrimaryKeyPrefix) + record.service;
  const std::string table(kFleetTable);
  const Instant sent = this->context.clock.Now();
  // The write is conditional on the row of the leader lease, so a VM that has
  // lost the lease cannot change a primary. A renewal that is sent before it
  // changes that row.
  this->store.Write(
      [this, table, key, record,
       version = this->store.PrimaryVersion(
           record.service)]() -> std::optional<StoreLink::Transaction> {
        if (!this->leadership.IsLeader()) {
          return std::nullopt;
        }
        return StoreLink::Transaction{{{table, key, version},
                                       {table, std::string(kLeaderKey),
                                        this->leadership.Lease().Version()}},
                                      {{table, key, EncodePrimary(record)}}};
      },
      [this, record, sent,
       handler = std::move(handler)](const WriteOutcome& outcome) {
        const bool is_done = outcome.kind == WriteOutcome::Kind::kDone;
        if (is_done) {
          routing::PrimaryRecord published = record;
          published.version = outcome.version;
          this->context.primaries.Adopt(published);
          this->context.primaries.Confirm(record.service, outcome.version,
                                          sent);
          this->store.OnPrimaryWritten(record.service, outcome.version);
          this->on_published();
        } else {
          this->store.ReadFleetSoon();
        }
        handler(is_done);
      });
}

void FailoverManager::QueryPrimary(const std::string& service,
                                   ServiceWatch& watch, Instant now) {
  if (watch.is_query_pending || now < watch.queried_at + kPrimaryQueryPeriod) {
    return;
  }
  const std::string primary =
      this->context.primaries.Find(service)->endpoint_id;
  if (!this->context.endpoints.contains(primary) &&
      !this->context.unregistered_endpoints.contains(primary)) {
    return;
  }
  watch.is_query_pending = true;
  watch.queried_at = now;
  this->find_pool(service).RunInternal(
      primary, platform_adapter::StatusText(), kQueryTimeout,
      [this, service,
       primary](const std::optional<statements::EndpointReply>& reply) {
        const auto found = this->watches.find(service);
        if (found == this->watches.end()) {
          return;
        }
        ServiceWatch& queried = found->second;
        queried.is_query_pending = false;
        if (!reply) {
          return;
        }
        queried.last_response = this->context.clock.Now();
        const auto state = platform_adapter::DecodeEndpointState(reply->rows);
        const routing::PrimaryRecord* current =
            this->context.primaries.Find(service);
        if (state && current != nullptr && current->endpoint_id == primary) {
          queried.has_lost_primary_role = !state->is_primary;
          queried.term = std::max(queried.term, state->term);
        }
      });
}

bool FailoverManager::IsEligible(const std::string& endpoint_id) const {
  const auto endpoint = this->context.endpoints.find(endpoint_id);
  return endpoint != this->context.endpoints.end() &&
         !endpoint->second.is_draining &&
         !this->context.evacuations.Contains(endpoint->second.data_centre);
}

bool FailoverManager::HasAlternative(const std::string& service,
                                     const std::string& primary) const {
  return std::any_of(this->context.endpoints.begin(),
                     this->context.endpoints.end(), [&](const auto& entry) {
                       return entry.second.service == service &&
                              entry.first != primary &&
                              this->IsEligible(entry.first);
                     });
}

void FailoverManager::StartChangeIfNeeded(const std::string& service,
                                          ServiceWatch& watch, Instant now) {
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  if (record.is_changing) {
    this->StartChange(service, watch, false,
                      "the previous change was not completed", now);
    return;
  }
  if (!this->context.endpoints.contains(record.endpoint_id)) {
    // An endpoint that took over the log at the former address already is the
    // primary.
    if (this->CheckClaims(service, watch, now)) {
      return;
    }
    // One that still responds acknowledges commits, together with replicas that
    // may not be registered either: it has to step down first.
    const bool is_planned =
        now < this->find_pool(service).LastContact(record.endpoint_id) +
                  kFailureTimeout;
    const bool may_start =
        !is_planned || this->HasAlternative(service, record.endpoint_id);
    if (may_start && this->store.AreEndpointsComplete()) {
      this->StartChange(service, watch, is_planned,
                        "the primary is no longer registered", now);
    }
    return;
  }
  if (watch.has_lost_primary_role) {
    this->StartChange(service, watch, false,
                      "the primary reports the replica role", now);
    return;
  }
  if (now >= watch.last_response + kSuspectTimeout) {
    this->StartChange(service, watch, false, "the primary does not respond",
                      now);
    watch.change->is_cancellable = true;
    return;
  }
  if (!this->IsEligible(record.endpoint_id) &&
      this->HasAlternative(service, record.endpoint_id)) {
    this->StartChange(service, watch, true,
                      "the primary is draining or evacuated", now);
  }
}

void FailoverManager::StartChange(const std::string& service,
                                  ServiceWatch& watch, bool is_planned,
                                  const std::string& reason, Instant now) {
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  LogEvent(kChangeStarted, {{"service", service},
                            {"endpoint", record.endpoint_id},
                            {"row_version", model::VersionText(record.version)},
                            {"planned", is_planned},
                            {"reason", reason}});
  ServiceChange& change = watch.change.emplace();
  change.is_planned = is_planned;
  change.started = now;
  this->Announce(service, watch);
}

void FailoverManager::Announce(const std::string& service,
                               ServiceWatch& watch) {
  watch.change->is_announcing = true;
  routing::PrimaryRecord record = *this->context.primaries.Find(service);
  record.is_changing = true;
  this->WritePrimary(record, [this, service](bool is_done) {
    ServiceWatch* announced = this->FindChanging(service);
    if (announced == nullptr) {
      return;
    }
    ServiceChange& change = *announced->change;
    change.is_announcing = false;
    if (is_done) {
      change.read_leases_expire_at = this->context.clock.Now() +
                                     routing::PrimaryTable::kReadLeaseLifetime +
                                     kReadLeaseMargin;
    }
  });
}

std::vector<std::string> FailoverManager::KnownEndpoints(
    const std::string& service) const {
  std::vector<std::string> ids;
  for (const auto& [id, endpoint] : this->context.endpoints) {
    if (endpoint.service == service) {
      ids.push_back(id);
    }
  }
  for (const auto& [id, unregistered] : this->context.unregistered_endpoints) {
    if (unregistered.endpoint.service == service) {
      ids.push_back(id);
    }
  }
  return ids;
}

bool FailoverManager::IsRegistered(const std::string& endpoint_id) const {
  const auto found = this->context.endpoints.find(endpoint_id);
  return found != this->context.endpoints.end() &&
         std::none_of(this->context.endpoints.begin(),
                      this->context.endpoints.end(), [&](const auto& other) {
                        return other.second.address == found->second.address &&
                               other.second.started_at_ms >
                                   found->second.started_at_ms;
                      });
}

bool FailoverManager::IsPresent(const ServiceWatch& watch,
                                const std::string& endpoint_id) const {
  return this->IsRegistered(endpoint_id) ||
         (watch.change && watch.change->members.contains(endpoint_id) &&
          !watch.silent_since.contains(endpoint_id));
}

promotion::AbsenceEvidence FailoverManager::EvidenceOf(
    const std::string& service, const ServiceWatch& watch,
    const UnregisteredEndpoint& unregistered) const {
  promotion::AbsenceEvidence evidence;
  evidence.draining_since = unregistered.draining_since;
  const auto silent = watch.silent_since.find(unregistered.endpoint.id);
  if (silent != watch.silent_since.end()) {
    evidence.silent_since = silent->second;
  }
  if (const auto* record = this->context.primaries.Find(service)) {
    evidence.primary_contact =
        this->find_pool(service).LastAnswered(record->endpoint_id);
  }
  return evidence;
}

bool FailoverManager::IsMember(const std::string& service,
                               const ServiceWatch& watch,
                               const std::string& endpoint_id) const {
  if (this->IsPresent(watch, endpoint_id)) {
    return true;
  }
  const auto unregistered =
      this->context.unregistered_endpoints.find(endpoint_id);
  return unregistered != this->context.unregistered_endpoints.end() &&
         !this->EvidenceOf(service, watch, unregistered->second)
              .IsAbsent(this->context.clock.Now(),
                        this->context.settings.drain_bound);
}

std::vector<std::string> FailoverManager::Members(
    const std::string& service, const ServiceWatch& watch) const {
  std::vector<std::string> ids = this->KnownEndpoints(service);
  std::erase_if(ids, [&](const std::string& id) {
    return !this->IsMember(service, watch, id);
  });
  return ids;
}

void FailoverManager::WriteMembers(const std::string& service,
                                   ServiceWatch& watch, Instant now) {
  if (watch.is_writing_members ||
      now < watch.members_written_at + kMembersWritePeriod ||
      !this->store.AreEndpointsComplete() || !this->store.HasReadFleetInEra()) {
    return;
  }
  std::vector<std::string> ids = this->Members(service, watch);
  std::sort(ids.begin(), ids.end());
  const StoreLink::MembersRow* known = this->store.FindMembers(service);
  if (ids.empty() || (known != nullptr && known->ids == ids)) {
    return;
  }
  std::vector<model::DatabaseEndpoint> endpoints;
  for (const std::string& id : ids) {
    const auto registered = this->context.endpoints.find(id);
    endpoints.push_back(
        registered != this->context.endpoints.end()
            ? registered->second
            : this->context.unregistered_endpoints.at(id).endpoint);
  }
  watch.members_written_at = now;
  watch.is_writing_members = true;
  const std::string key = std::string(kMembersKeyPrefix) + service;
  const std::string table(kFleetTable);
  this->store.Write(
      [this, table, key, service, value = EncodeMembers(endpoints)]()
          -> std::optional<StoreLink::Transaction> {
        if (!this->leadership.IsLeader()) {
          return std::nullopt;
        }
        const StoreLink::MembersRow* row = this->store.FindMembers(service);
        return StoreLink::Transaction{
            {{table, key, row == nullptr ? 0 : row->version},
             {table, std::string(kLeaderKey),
              this->leadership.Lease().Version()}},
            {{table, key, value}}};
      },
      [this, service, ids](const WriteOutcome& outcome) {
        const auto written = this->watches.find(service);
        if (written != this->watches.end()) {
          written->second.is_writing_members = false;
        }
        if (outcome.kind != WriteOutcome::Kind::kDone) {
          this->store.ReadFleetSoon();
          return;
        }
        LogEvent(kMembersWritten,
                 {{"service", service},
                  {"endpoints", ids.size()},
                  {"row_version", model::VersionText(outcome.version)}});
        this->store.OnMembersWritten(service, {outcome.version, ids});
      });
}

void FailoverManager::QueryMembers(const std::string& service,
                                   ServiceWatch& watch, Instant now) {
  ServiceChange& change = *watch.change;
  for (const std::string& id : this->KnownEndpoints(service)) {
    const milliseconds period =
        this->IsPresent(watch, id) ? kMemberQueryPeriod : kSilentQueryPeriod;
    if (now < change.queried_at[id] + period) {
      continue;
    }
    // At most one query is in flight for each member; its reply or time-out
    // resets the time.
    change.queried_at[id] = now + kQueryTimeout;
    this->QueryMember(service, id);
  }
}

void FailoverManager::QueryMember(const std::string& service,
                                  const std::string& endpoint_id) {
  this->find_pool(service).RunInternal(
      endpoint_id, platform_adapter::StatusText(), kQueryTimeout,
      [this, service, endpoint_id, sent = this->context.clock.Now()](
          const std::optional<statements::EndpointReply>& reply) {
        this->OnMemberReply(service, endpoint_id, sent, reply);
      });
}

void FailoverManager::GiveOrder(const std::string& service,
                                const std::string& endpoint_id,
                                const std::string& text) {
  this->find_pool(service).RunOrder(
      endpoint_id, text, kQueryTimeout,
      [this, token = this->leadership.Token()] {
        return this->leadership.MayAct(this->context.clock.Now()) &&
               this->leadership.Token() == token;
      },
      [this, service, endpoint_id, sent = this->context.clock.Now()](
          const std::optional<statements::EndpointReply>& reply) {
        this->OnMemberReply(service, endpoint_id, sent, reply);
      });
}

void FailoverManager::ObserveSilence(const std::string& service,
                                     ServiceWatch& watch,
                                     const std::string& endpoint_id,
                                     Instant sent, bool has_replied) {
  // A connection that the endpoint refuses for want of room is a response too.
  if (has_replied ||
      this->find_pool(service).LastContact(endpoint_id) >= sent) {
    watch.silent_since.erase(endpoint_id);
    return;
  }
  std::erase_if(watch.silent_since, [this](const auto& entry) {
    return !this->context.endpoints.contains(entry.first) &&
           !this->context.unregistered_endpoints.contains(entry.first);
  });
  watch.silent_since.try_emplace(endpoint_id, this->context.clock.Now());
}

void FailoverManager::OnMemberReply(
    const std::string& service, const std::string& endpoint_id, Instant sent,
    const std::optional<statements::EndpointReply>& reply) {
  ServiceWatch* watch = this->FindChanging(service);
  if (watch == nullptr) {
    return;
  }
  ServiceChange& change = *watch->change;
  const Instant now = this->context.clock.Now();
  if (!this->leadership.IsLeader()) {
    // The lease expired while the reply was on its way, for example while this
    // VM was suspended; its successor may be changing the primary already.
    return;
  }
  change.queried_at[endpoint_id] = now;
  ChangeMember& member = change.members[endpoint_id];
  member.id = endpoint_id;
  this->ObserveSilence(service, *watch, endpoint_id, sent, reply.has_value());
  std::optional<platform_adapter::EndpointState> state;
  if (reply) {
    state = platform_adapter::DecodeEndpointState(reply->rows);
  }
  if (!state) {
    member.has_answered = false;
    return;
  }
  member.has_answered = true;
  member.is_primary = state->is_primary;
  member.term = state->term;
  member.received_before = member.received;
  member.received = state->received;
  member.paused_term = state->paused_term;
  watch->term = std::max(watch->term, state->term);
  this->ObserveReplica(service, endpoint_id, *state);
  this->AdvanceChange(service, *watch, now);
}

void FailoverManager::ObserveReplica(
    const std::string& service, const std::string& endpoint_id,
    const platform_adapter::EndpointState& state) {
  const routing::PrimaryRecord* record = this->context.primaries.Find(service);
  // A former primary may hold commits that no replica has received, and a
  // replica that has not joined the term may be ahead of the primary.
  if (record == nullptr || record->endpoint_id == endpoint_id ||
      state.is_primary || state.term < record->term) {
    return;
  }
  this->find_pool(service).ObserveCommitted(state.received);
}

bool FailoverManager::ReviewCancellableChange(const std::string& service,
                                              ServiceWatch& watch,
                                              Instant now) {
  ServiceChange& change = *watch.change;
  if (!change.is_cancellable) {
    return false;
  }
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  const Instant last_response_at =
      this->find_pool(service).LastContact(record.endpoint_id);
  if (last_response_at > change.started) {
    this->CancelChange(service, watch, "the primary responds again");
    return true;
  }
  if (now < watch.last_response + kFailureTimeout) {
    return true;
  }
  const std::vector<std::string> members = this->Members(service, watch);
  const bool all_replicas_respond =
      std::all_of(members.begin(), members.end(), [&](const std::string& id) {
        return id == record.endpoint_id || change.members[id].has_answered;
      });
  if (all_replicas_respond) {
    change.is_cancellable = false;
    return false;
  }
  // The change cannot complete without all replicas, while other VMs may still
  // reach the primary.
  if (now >= change.started + kCancelTimeout) {
    this->CancelChange(service, watch, "a replica does not respond");
  }
  return true;
}

void FailoverManager::CancelChange(const std::string& service,
                                   ServiceWatch& watch,
                                   const std::string& reason) {
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  watch.change->is_publishing = true;
  routing::PrimaryRecord restored = record;
  restored.is_changing = false;
  restored.is_lost = false;
  this->WritePrimary(restored, [this, service, reason](bool is_done) {
    ServiceWatch* cancelled = this->FindChanging(service);
    if (cancelled == nullptr) {
      return;
    }
    cancelled->change->is_publishing = false;
    if (is_done) {
      LogEvent(kChangeEnded,
               {{"service", service},
                {"reason", reason},
                {"waiting_for", this->UnansweredMembers(service, *cancelled)}});
      cancelled->last_response = this->context.clock.Now();
      cancelled->change.reset();
    }
  });
}

void FailoverManager::QueryReplicas(const std::string& service,
                                    ServiceWatch& watch, Instant now) {
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  for (const std::string& id : this->KnownEndpoints(service)) {
    const milliseconds period = this->IsMember(service, watch, id)
                                    ? kReplicaQueryPeriod
                                    : kMissingQueryPeriod;
    if (id == record.endpoint_id ||
        now < watch.replica_queried_at[id] + period) {
      continue;
    }
    watch.replica_queried_at[id] = now;
    this->find_pool(service).RunInternal(
        id, platform_adapter::StatusText(), kQueryTimeout,
        [this, service, id,
         now](const std::optional<statements::EndpointReply>& reply) {
          this->OnReplicaReply(service, id, now, reply);
        });
  }
}

void FailoverManager::OnReplicaReply(
    const std::string& service, const std::string& endpoint_id, Instant sent,
    const std::optional<statements::EndpointReply>& reply) {
  const auto watch = this->watches.find(service);
  if (watch != this->watches.end()) {
    this->ObserveSilence(service, watch->second, endpoint_id, sent,
                         reply.has_value());
  }
  const auto state =
      reply ? platform_adapter::DecodeEndpointState(reply->rows) : std::nullopt;
  if (!state) {
    return;
  }
  this->find_pool(service).SetLag(endpoint_id, state->lag,
                                  this->context.clock.Now());
  this->ObserveReplica(service, endpoint_id, *state);
  if (watch == this->watches.end()) {
    return;
  }
  watch->second.term = std::max(watch->second.term, state->term);
  if (!watch->second.change) {
    this->Reconcile(service, watch->second, endpoint_id, *state);
  }
}

void FailoverManager::Reconcile(const std::string& service, ServiceWatch& watch,
                                const std::string& endpoint_id,
                                const platform_adapter::EndpointState& state) {
  const routing::PrimaryRecord* record = this->context.primaries.Find(service);
  if (record == nullptr || record->is_changing ||
      endpoint_id == record->endpoint_id) {
    return;
  }
  if (state.is_primary) {
    watch.replicas.erase(endpoint_id);
    if (state.term < record->term) {
      this->GiveOrder(service, endpoint_id,
                      platform_adapter::StepDownText(record->term));
    }
    return;
  }
  watch.replicas.insert(endpoint_id);
  if (state.paused_term == 0) {
    return;
  }
  // One that has joined the term receives from its primary only.
  if (state.term >= record->term ||
      this->MayResume(service, watch, endpoint_id)) {
    LogEvent(kReplicaResumed, {{"service", service},
                               {"endpoint", endpoint_id},
                               {"term", state.term},
                               {"published_term", record->term}});
    this->GiveOrder(service, endpoint_id, platform_adapter::ResumeText());
  }
}

bool FailoverManager::DoReachEachOther(const std::string& first,
                                       const std::string& second) const {
  const auto is_near = [this](const std::string& id) {
    const auto found = this->context.endpoints.find(id);
    return found != this->context.endpoints.end() &&
           found->second.data_centre == this->context.settings.data_centre;
  };
  return is_near(first) || is_near(second);
}

bool FailoverManager::MayResume(const std::string& service,
                                const ServiceWatch& watch,
                                const std::string& replica) const {
  const std::string& primary =
      this->context.primaries.Find(service)->endpoint_id;
  const bool is_primary_in_reach =
      this->context.clock.Now() <
      this->find_pool(service).LastContact(primary) + kFailureTimeout;
  if (is_primary_in_reach && this->DoReachEachOther(replica, primary)) {
    return true;
  }
  const std::vector<std::string> members = this->Members(service, watch);
  return std::all_of(
      members.begin(), members.end(), [&](const std::string& id) {
        return id == primary || id == replica || watch.replicas.contains(id);
      });
}

void FailoverManager::PublishLoss(const std::string& service,
                                  ServiceWatch& watch) {
  watch.change->is_announcing = true;
  routing::PrimaryRecord record = *this->context.primaries.Find(service);
  record.is_changing = true;
  record.is_lost = true;
  this->WritePrimary(record, [this, service](bool is_done) {
    ServiceWatch* published = this->FindChanging(service);
    if (published == nullptr) {
      return;
    }
    published->change->is_announcing = false;
    if (is_done) {
      published->change->loss_known_at =
          this->context.clock.Now() + kRecordDelivery;
    }
  });
}

void FailoverManager::AdvanceChange(const std::string& service,
                                    ServiceWatch& watch, Instant now) {
  ServiceChange& change = *watch.change;
  this->QueryMembers(service, watch, now);
  if (change.is_announcing || change.is_promotion_pending ||
      change.is_publishing ||
      this->ReviewCancellableChange(service, watch, now)) {
    return;
  }
  if (!change.read_leases_expire_at) {
    this->Announce(service, watch);
    return;
  }
  promotion::ChangeView view;
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  view.former = record.endpoint_id;
  view.published_term = record.term;
  view.is_planned =
      change.is_planned &&
      now < this->find_pool(service).LastContact(view.former) + kFailureTimeout;
  view.read_leases_expired = now >= *change.read_leases_expire_at;
  model::Term highest = 0;
  model::Term replica_term = 0;
  for (const std::string& id : this->Members(service, watch)) {
    ChangeMember member = change.members[id];
    member.id = id;
    member.is_eligible = this->IsEligible(id);
    highest = std::max(highest, member.term);
    replica_term = std::max(replica_term, member.is_primary ? 0 : member.term);
    view.members.push_back(member);
  }
  // The first endpoints to respond may not have heard of the newest term. A
  // pause takes effect only with a higher term than that of the replica.
  if (change.next_term == 0) {
    if (highest == 0) {
      return;
    }
    change.next_term = std::max({highest, record.term, watch.term}) + 1;
  } else if (replica_term >= change.next_term &&
             change.promotion_target.empty()) {
    change.next_term = replica_term + 1;
  }
  view.next_term = change.next_term;
  if (!this->IsPresent(watch, change.promotion_target)) {
    // An endpoint that has left is not promoted by a late call any more.
    change.promotion_target.clear();
  }
  view.is_promotion_called = !change.promotion_target.empty();
  this->UpdateProofs(service, watch, view, now);
  const bool has_replica =
      std::any_of(view.members.begin(), view.members.end(),
                  [&](const auto& member) { return member.id != view.former; });
  if (change.all_paused_since && has_replica &&
      !change.members[view.former].has_answered) {
    if (!change.loss_known_at) {
      this->PublishLoss(service, watch);
      return;
    }
    view.read_leases_expired &= now >= *change.loss_known_at;
  }
  const ChangeStep step = promotion::NextStep(view);
  const bool touches_replica = step.action == ChangeAction::kPause ||
                               step.action == ChangeAction::kResume;
  if (!change.promotion_target.empty() && touches_replica) {
    // The platform is carrying out the promotion.
    return;
  }
  this->PerformStep(service, watch, step, now);
}

void FailoverManager::UpdateProofs(const std::string& service,
                                   ServiceWatch& watch,
                                   promotion::ChangeView& view, Instant now) {
  ServiceChange& change = *watch.change;
  const bool are_all_paused = std::all_of(
      view.members.begin(), view.members.end(), [&](const auto& member) {
        return member.id == view.former ||
               (member.has_answered && member.paused_term >= view.next_term);
      });
  if (!are_all_paused) {
    change.all_paused_since.reset();
  } else if (!change.all_paused_since) {
    change.all_paused_since = now;
  }
  view.are_members_current =
      change.all_paused_since &&
      this->store.EndpointRows().read_at > *change.all_paused_since &&
      this->store.AreEndpointsComplete();
  view.committed = this->find_pool(service).Committed();
  const ChangeMember& former = change.members[view.former];
  // A former primary out of reach that is not shown to have left holds its
  // commits, and may return with them.
  view.is_commit_wait_over =
      now >= change.started + kCommitWaitTimeout &&
      (former.has_answered || !this->IsMember(service, watch, view.former));
  if (former.has_answered && !former.is_primary && !change.stepped_down_at) {
    change.stepped_down_at = now;
  }
  view.is_catch_up_over =
      change.stepped_down_at && now >= *change.stepped_down_at + kCatchUpTime;
}

std::string FailoverManager::UnansweredMembers(
    const std::string& service, const ServiceWatch& watch) const {
  std::string ids;
  for (const std::string& id : this->Members(service, watch)) {
    const auto member = watch.change->members.find(id);
    if (member != watch.change->members.end() && member->second.has_answered) {
      continue;
    }
    ids += (ids.empty() ? "" : ",") + id;
  }
  return ids;
}

void FailoverManager::ReportHeldChange(const std::string& service,
                                       ServiceWatch& watch, Instant now) {
  ServiceChange& change = *watch.change;
  if (now < change.started + change.held_notice) {
    return;
  }
  change.held_notice *= 2;
  LogEvent(kChangeHeld,
           {{"service", service},
            {"endpoint", this->context.primaries.Find(service)->endpoint_id},
            {"waiting_for", this->UnansweredMembers(service, watch)},
            {"committed", PositionText(this->find_pool(service).Committed())},
            {"elapsed_ms", kernel::ToMilliseconds(now - change.started)}});
}

void FailoverManager::PerformStep(const std::string& service,
                                  ServiceWatch& watch, const ChangeStep& step,
                                  Instant now) {
  ServiceChange& change = *watch.change;
  if (step != change.last_step) {
    const auto is_silent = [](const auto& entry) {
      return !entry.second.has_answered;
    };
    LogEvent(
        kChangeStep,
        {{"service", service},
         {"action", ToString(step.action)},
         {"endpoint", step.endpoint},
         {"term", change.next_term},
         {"received", PositionText(ReceivedBy(change, step.endpoint))},
         {"committed", PositionText(this->find_pool(service).Committed())},
         {"silent_members", std::count_if(change.members.begin(),
                                          change.members.end(), is_silent)},
         {"endpoints_read_ms_ago",
          kernel::ToMilliseconds(now - this->store.EndpointRows().read_at)},
         {"endpoints_complete", this->store.AreEndpointsComplete()},
         {"elapsed_ms", kernel::ToMilliseconds(now - change.started)}});
  }
  change.last_step = step;
  switch (step.action) {
    case ChangeAction::kWait:
      this->ReportHeldChange(service, watch, now);
      return;
    case ChangeAction::kPause:
      if (change.members[step.endpoint].has_answered) {
        change.members[step.endpoint].has_answered = false;
        change.queried_at[step.endpoint] = now + kQueryTimeout;
        this->GiveOrder(service, step.endpoint,
                        platform_adapter::PauseText(change.next_term));
      }
      return;
    case ChangeAction::kResume:
      change.members[step.endpoint].has_answered = false;
      change.queried_at[step.endpoint] = now + kQueryTimeout;
      this->GiveOrder(service, step.endpoint, platform_adapter::ResumeText());
      return;
    case ChangeAction::kStepDown:
      if (change.members[step.endpoint].has_answered) {
        change.members[step.endpoint].has_answered = false;
        change.queried_at[step.endpoint] = now + kQueryTimeout;
        this->GiveOrder(service, step.endpoint,
                        platform_adapter::StepDownText(change.next_term));
      }
      return;
    case ChangeAction::kPromote:
      // After a promotion call, no other endpoint may be promoted: the response
      // may be lost although the call takes effect.
      this->Promote(service, watch,
                    change.promotion_target.empty() ? step.endpoint
                                                    : change.promotion_target,
                    now);
      return;
    case ChangeAction::kPublish:
      this->Publish(service, watch, step.endpoint,
                    change.members[step.endpoint].term);
      return;
  }
}

void FailoverManager::Promote(const std::string& service, ServiceWatch& watch,
                              const std::string& endpoint_id, Instant now) {
  ServiceChange& change = *watch.change;
  if (now < change.promotion_retry_at ||
      !this->leadership.Duties().MayCall(kPromotionDuty, service)) {
    return;
  }
  const model::LogPosition committed = this->find_pool(service).Committed();
  const model::LogPosition received = ReceivedBy(change, endpoint_id);
  if (received < committed && change.promotion_target.empty()) {
    LogEvent(kCommitsMissing, {{"service", service},
                               {"endpoint", endpoint_id},
                               {"received", PositionText(received)},
                               {"committed", PositionText(committed)}});
  }
  change.promotion_target = endpoint_id;
  change.is_promotion_pending = true;
  this->leadership.Duties().Call(
      kPromotionDuty, service, endpoint_id,
      [service, endpoint_id](const std::string& holder, std::uint64_t token) {
        return platform_adapter::PromotionCall(service, endpoint_id, holder,
                                               token);
      },
      [this, service](const transport::HttpAnswer& answer) {
        ServiceWatch* watched = this->FindChanging(service);
        if (watched == nullptr) {
          return;
        }
        ServiceChange& called = *watched->change;
        called.is_promotion_pending = false;
        called.promotion_retry_at =
            this->context.clock.Now() + kPromotionRetryDelay;
        if (answer.status != transport::HttpAnswer::kOk && answer.status != 0) {
          called.promotion_target.clear();
        }
      });
}

void FailoverManager::Publish(const std::string& service, ServiceWatch& watch,
                              const std::string& endpoint_id,
                              model::Term term) {
  ServiceChange& change = *watch.change;
  change.is_publishing = true;
  // A former primary goes on until it steps down, and a paused replica that
  // does not reach the new one would receive from it again.
  bool may_former_go_on = false;
  std::vector<std::string> paused;
  for (const std::string& id : this->Members(service, watch)) {
    const ChangeMember& member = change.members[id];
    if (id == endpoint_id) {
      continue;
    }
    if (!member.has_answered || member.is_primary) {
      may_former_go_on = true;
      this->GiveOrder(service, id, platform_adapter::StepDownText(term));
    } else if (member.paused_term != 0) {
      paused.push_back(id);
    }
  }
  for (const std::string& id : paused) {
    if (!may_former_go_on || change.members[id].term >= term ||
        this->DoReachEachOther(id, endpoint_id)) {
      this->GiveOrder(service, id, platform_adapter::ResumeText());
    }
  }
  routing::PrimaryRecord published_record{service, endpoint_id, term, false, 0};
  published_record.committed = std::min(this->find_pool(service).Committed(),
                                        change.members[endpoint_id].received);
  this->WritePrimary(published_record, [this, service, endpoint_id,
                                        term](bool is_done) {
    ServiceWatch* published = this->FindChanging(service);
    if (published == nullptr) {
      return;
    }
    if (!is_done) {
      published->change->is_publishing = false;
      return;
    }
    LogEvent(
        kChangeEnded,
        {{"service", service},
         {"endpoint", endpoint_id},
         {"term", term},
         {"elapsed_ms", kernel::ToMilliseconds(this->context.clock.Now() -
                                               published->change->started)}});
    published->change.reset();
    published->replicas.clear();
    published->has_lost_primary_role = false;
    published->last_response = this->context.clock.Now();
  });
}

}  // namespace laburnumkeel::proxy
