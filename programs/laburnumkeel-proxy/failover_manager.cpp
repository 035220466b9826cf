#include "programs/laburnumkeel-proxy/failover_manager.h"

#include <algorithm>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/milliseconds.h"
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

constexpr milliseconds kAskPeriod{400};
constexpr milliseconds kAskTimeout{700};
// Without an answer for this long a change is announced, since the VMs' read
// leases take a while to expire; without one for kSuspicion the primary counts
// as failed. A wrong suspicion costs a change of primary, not a promise.
constexpr milliseconds kDoubt{800};
constexpr milliseconds kSuspicion{1200};
// An announced change that cannot go on is withdrawn after this time.
constexpr milliseconds kTentativeTime{2500};
constexpr milliseconds kReplicaAskPeriod{800};
constexpr milliseconds kMemberAskPeriod{100};
// The leader lease has to hold for that much longer when the platform is asked
// to promote: it covers the call's own time.
constexpr milliseconds kLeaderLeaseMargin{1000};
// Read leases are waited for by this much longer, for the drift of clocks.
constexpr milliseconds kReadLeaseMargin{100};
// The holder answers all other VMs, so a VM with less than half a core leaves
// the leader lease to a larger one for a moment.
constexpr double kFullProcessorShare = 0.5;
constexpr double kAcquireDelayPerCoreMs = 1200;
// A promotion is carried out some hundred milliseconds after the call.
constexpr milliseconds kPromotionPause{700};

}  // namespace

FailoverManager::FailoverManager(
    ProxyContext& context, StoreLink& store,
    std::function<ServicePool&(const std::string&)> find_pool,
    std::function<void()> on_published)
    : context(context),
      store(store),
      find_pool(std::move(find_pool)),
      on_published(std::move(on_published)),
      lease(context.settings.vm) {}

bool FailoverManager::IsHeld() const {
  return this->lease.IsHeld(this->context.clock.Now());
}

void FailoverManager::OnLeaderRow(const promotion::LeaderRecord* record,
                                  std::uint64_t version,
                                  std::int64_t store_now_ms) {
  if (record == nullptr) {
    this->lease.ObserveAbsent(this->context.clock.Now());
    return;
  }
  this->lease.Observe(*record, version, store_now_ms,
                      this->context.clock.Now());
}

void FailoverManager::Tick(Instant now) {
  if (!this->context.configuration) {
    return;
  }
  this->Renew(now);
  const bool is_held = this->lease.IsHeld(now);
  if (is_held != this->was_held) {
    LogEvent(is_held ? kDutyTaken : kDutyLost,
             {{"token", this->lease.Record() ? this->lease.Record()->token : 0},
              {"row_version", this->lease.Version()}});
    this->was_held = is_held;
    this->watches.clear();
  }
  if (!is_held || this->is_released) {
    return;
  }
  for (const auto& [service, definition] :
       this->context.configuration->services) {
    this->WatchService(service, now);
  }
}

void FailoverManager::Renew(Instant now) {
  if (this->is_writing || this->is_released || now < this->renew_at) {
    return;
  }
  const bool is_held = this->lease.IsHeld(now);
  if (!is_held && !this->IsAcquireDue(now)) {
    return;
  }
  const promotion::LeaderRecord record = this->MakeRecord(is_held, now);
  limits::WithheldOperations inherited;
  if (!is_held && this->lease.Record()) {
    inherited = this->lease.Record()->withheld_operations;
  }
  this->is_writing = true;
  this->renewed = now;
  this->renew_at = now + promotion::LeaderLease::kRenewalPeriod;
  this->WriteLeader(record, [this, record, now, is_held,
                             inherited](const WriteOutcome& outcome) {
    this->is_writing = false;
    if (outcome.kind == WriteOutcome::Kind::kDone) {
      if (!is_held) {
        this->held_since = this->context.clock.Now();
        this->inherited_operations = inherited;
        this->store.ReadFleetSoon();
      }
      this->lease.OnWritten(record, outcome.version, now);
    } else {
      this->store.ReadFleetSoon();
    }
  });
}

void FailoverManager::RenewSoon() {
  this->renew_at =
      std::min(this->renew_at,
               this->renewed + promotion::LeaderLease::kMinimumRenewalPeriod);
}

promotion::LeaderRecord FailoverManager::MakeRecord(bool is_held,
                                                    Instant now) const {
  promotion::LeaderRecord record;
  record.holder = this->context.settings.vm;
  record.address = this->context.settings.PeerAddress();
  record.renewed_at_ms = this->store.StoreNowMs(now);
  const auto& previous = this->lease.Record();
  record.token = previous ? previous->token : 0;
  if (is_held) {
    const Handover handover = this->handover_source();
    record.inactive_vms = handover.inactive_vms;
    record.withheld_operations = handover.withheld_operations;
    return record;
  }
  ++record.token;
  if (previous) {
    record.inactive_vms = previous->inactive_vms;
    // This VM may grant half of what it inherits before its first renewal.
    for (const auto& [account, operations] : previous->withheld_operations) {
      record.withheld_operations[account] = operations / 2;
    }
  }
  return record;
}

bool FailoverManager::IsAcquireDue(Instant now) {
  if (!this->lease.MayAcquire(now)) {
    this->acquirable_since = Instant();
    return false;
  }
  if (this->acquirable_since == Instant()) {
    this->acquirable_since = now;
  }
  const auto& record = this->lease.Record();
  if (record && record->holder == this->context.settings.vm) {
    return true;
  }
  const double lacking = std::clamp(
      kFullProcessorShare - this->context.settings.processor_share, 0.0, 1.0);
  return now >= this->acquirable_since + milliseconds(static_cast<std::int64_t>(
                                             lacking * kAcquireDelayPerCoreMs));
}

void FailoverManager::Release(std::function<void()> done) {
  const bool is_held = this->IsHeld();
  this->is_released = true;
  if (!is_held) {
    done();
    return;
  }
  promotion::LeaderRecord record =
      this->MakeRecord(true, this->context.clock.Now());
  record.holder.clear();
  this->WriteLeader(record,
                    [done = std::move(done)](const WriteOutcome&) { done(); });
}

void FailoverManager::WriteLeader(
    const promotion::LeaderRecord& record,
    std::function<void(const WriteOutcome&)> handler) {
  const std::string table(kFleetTable);
  const std::string key(kLeaderKey);
  this->store.Write({{table, key, this->lease.Version()}},
                    {{table, key, EncodeLeader(record)}}, std::move(handler));
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
    watch.last_answer = now;
  }
  const routing::PrimaryRecord* record = this->context.primaries.Find(service);
  if (record == nullptr) {
    watch.last_answer = now;
    this->PublishFirst(service, watch);
    return;
  }
  if (watch.change) {
    this->AdvanceChange(service, watch, now);
    return;
  }
  watch.last_answer =
      std::max(watch.last_answer,
               this->find_pool(service).LastContact(record->endpoint_id));
  this->Ask(service, watch, now);
  this->AskReplicas(service, now);
  this->ConsiderChange(service, watch, now);
}

void FailoverManager::PublishFirst(const std::string& service,
                                   ServiceWatch& watch) {
  if (watch.is_publishing) {
    return;
  }
  for (const auto& [id, endpoint] : this->context.endpoints) {
    if (endpoint.service != service || !endpoint.claims_primary) {
      continue;
    }
    watch.is_publishing = true;
    this->WritePrimary({service, id, 0, false, 0}, [this, service](bool) {
      this->watches[service].is_publishing = false;
    });
    return;
  }
}

void FailoverManager::WritePrimary(const routing::PrimaryRecord& record,
                                   std::function<void(bool)> handler) {
  const std::string key = std::string(kPrimaryKeyPrefix) + record.service;
  const std::string table(kFleetTable);
  const Instant sent = this->context.clock.Now();
  // The leader lease's row in the condition: a VM that lost the lease changes
  // nothing.
  this->store.Write(
      {{table, key, this->store.PrimaryVersion(record.service)},
       {table, std::string(kLeaderKey), this->lease.Version()}},
      {{table, key, EncodePrimary(record)}},
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

void FailoverManager::Ask(const std::string& service, ServiceWatch& watch,
                          Instant now) {
  if (watch.is_asking || now < watch.asked + kAskPeriod) {
    return;
  }
  const std::string primary =
      this->context.primaries.Find(service)->endpoint_id;
  if (!this->context.endpoints.contains(primary)) {
    return;
  }
  watch.is_asking = true;
  watch.asked = now;
  this->find_pool(service).RunInternal(
      primary, platform_adapter::StatusText(), kAskTimeout,
      [this, service,
       primary](const std::optional<statements::EndpointReply>& reply) {
        const auto found = this->watches.find(service);
        if (found == this->watches.end()) {
          return;
        }
        ServiceWatch& asked = found->second;
        asked.is_asking = false;
        if (!reply) {
          return;
        }
        asked.last_answer = this->context.clock.Now();
        const auto state = platform_adapter::DecodeEndpointState(reply->rows);
        const routing::PrimaryRecord* current =
            this->context.primaries.Find(service);
        if (state && current != nullptr && current->endpoint_id == primary) {
          asked.has_lost_lead = !state->is_primary;
          asked.term = std::max(asked.term, state->term);
        }
      });
}

bool FailoverManager::IsEligible(const std::string& endpoint_id) const {
  const auto endpoint = this->context.endpoints.find(endpoint_id);
  return endpoint != this->context.endpoints.end() &&
         !endpoint->second.is_draining &&
         !this->context.evacuated.contains(endpoint->second.data_centre);
}

void FailoverManager::ConsiderChange(const std::string& service,
                                     ServiceWatch& watch, Instant now) {
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  if (record.is_changing) {
    this->StartChange(service, watch, false, "left unfinished", now);
    return;
  }
  if (!this->context.endpoints.contains(record.endpoint_id)) {
    // A database that took over the log at the former address leads already.
    for (const auto& [id, endpoint] : this->context.endpoints) {
      if (endpoint.service == service && endpoint.claims_primary &&
          !watch.is_publishing) {
        watch.is_publishing = true;
        LogEvent(kChangeEnded, {{"service", service},
                                {"endpoint", id},
                                {"reason", "successor of a departed primary"}});
        this->WritePrimary(
            {service, id, watch.term, false, 0}, [this, service](bool) {
              this->watches[service].is_publishing = false;
              this->watches[service].last_answer = this->context.clock.Now();
            });
        return;
      }
    }
    if (!watch.is_publishing) {
      this->StartChange(service, watch, false, "the primary is gone", now);
    }
    return;
  }
  if (watch.has_lost_lead) {
    this->StartChange(service, watch, false, "the primary does not lead", now);
    return;
  }
  if (now >= watch.last_answer + kDoubt) {
    this->StartChange(service, watch, false, "the primary does not answer",
                      now);
    watch.change->is_tentative = true;
    return;
  }
  const bool has_alternative =
      std::any_of(this->context.endpoints.begin(),
                  this->context.endpoints.end(), [&](const auto& entry) {
                    return entry.second.service == service &&
                           entry.first != record.endpoint_id &&
                           this->IsEligible(entry.first);
                  });
  if (!this->IsEligible(record.endpoint_id) && has_alternative) {
    this->StartChange(service, watch, true, "the primary has to leave", now);
  }
}

void FailoverManager::StartChange(const std::string& service,
                                  ServiceWatch& watch, bool is_planned,
                                  const std::string& reason, Instant now) {
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  LogEvent(kChangeStarted, {{"service", service},
                            {"endpoint", record.endpoint_id},
                            {"row_version", record.version},
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

void FailoverManager::AskMembers(const std::string& service,
                                 ServiceChange& change, Instant now) {
  for (const auto& [id, endpoint] : this->context.endpoints) {
    if (endpoint.service != service ||
        now < change.asked[id] + kMemberAskPeriod) {
      continue;
    }
    // One question at a time; the answer sets the time back.
    change.asked[id] = now + kAskTimeout;
    this->Command(service, id, platform_adapter::StatusText());
  }
}

void FailoverManager::Command(const std::string& service,
                              const std::string& endpoint_id,
                              const std::string& text) {
  this->find_pool(service).RunInternal(
      endpoint_id, text, kAskTimeout,
      [this, service,
       endpoint_id](const std::optional<statements::EndpointReply>& reply) {
        this->OnMemberAnswer(service, endpoint_id, reply);
      });
}

void FailoverManager::OnMemberAnswer(
    const std::string& service, const std::string& endpoint_id,
    const std::optional<statements::EndpointReply>& reply) {
  ServiceWatch* watch = this->FindChanging(service);
  if (watch == nullptr) {
    return;
  }
  ServiceChange& change = *watch->change;
  const Instant now = this->context.clock.Now();
  change.asked[endpoint_id] = now;
  ChangeMember& member = change.members[endpoint_id];
  member.id = endpoint_id;
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
  member.received = state->received;
  member.paused_term = state->paused_term;
  watch->term = std::max(watch->term, state->term);
  this->AdvanceChange(service, *watch, now);
}

bool FailoverManager::HoldTentative(const std::string& service,
                                    ServiceWatch& watch, Instant now) {
  ServiceChange& change = *watch.change;
  if (!change.is_tentative) {
    return false;
  }
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  const Instant heard =
      this->find_pool(service).LastContact(record.endpoint_id);
  if (heard > change.started) {
    this->CancelChange(service, watch, "the primary answers again");
    return true;
  }
  if (now < watch.last_answer + kSuspicion) {
    return true;
  }
  const bool all_replicas_answer =
      std::all_of(this->context.endpoints.begin(),
                  this->context.endpoints.end(), [&](const auto& entry) {
                    return entry.second.service != service ||
                           entry.first == record.endpoint_id ||
                           change.members[entry.first].has_answered;
                  });
  if (all_replicas_answer) {
    change.is_tentative = false;
    return false;
  }
  // Without all replicas the change could not be completed, while other VMs may
  // still reach the primary.
  if (now >= change.started + kTentativeTime) {
    this->CancelChange(service, watch, "a replica does not answer");
  }
  return true;
}

void FailoverManager::CancelChange(const std::string& service,
                                   ServiceWatch& watch,
                                   const std::string& reason) {
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  watch.change->is_publishing = true;
  this->WritePrimary(
      {service, record.endpoint_id, record.term, false, 0},
      [this, service, reason](bool is_done) {
        ServiceWatch* cancelled = this->FindChanging(service);
        if (cancelled == nullptr) {
          return;
        }
        cancelled->change->is_publishing = false;
        if (is_done) {
          LogEvent(kChangeEnded, {{"service", service}, {"reason", reason}});
          cancelled->last_answer = this->context.clock.Now();
          cancelled->change.reset();
        }
      });
}

void FailoverManager::AskReplicas(const std::string& service, Instant now) {
  ServiceWatch& watch = this->watches[service];
  const routing::PrimaryRecord& record = *this->context.primaries.Find(service);
  for (const auto& [id, endpoint] : this->context.endpoints) {
    if (endpoint.service != service || id == record.endpoint_id ||
        now < watch.replica_asked[id] + kReplicaAskPeriod) {
      continue;
    }
    watch.replica_asked[id] = now;
    this->find_pool(service).RunInternal(
        id, platform_adapter::StatusText(), kAskTimeout,
        [this, service,
         id = id](const std::optional<statements::EndpointReply>& reply) {
          if (!reply) {
            return;
          }
          const auto state = platform_adapter::DecodeEndpointState(reply->rows);
          if (state) {
            this->find_pool(service).SetLag(id, state->lag,
                                            this->context.clock.Now());
          }
        });
  }
}

void FailoverManager::AdvanceChange(const std::string& service,
                                    ServiceWatch& watch, Instant now) {
  ServiceChange& change = *watch.change;
  this->AskMembers(service, change, now);
  if (change.is_announcing || change.is_calling || change.is_publishing ||
      this->HoldTentative(service, watch, now)) {
    return;
  }
  if (!change.read_leases_expire_at) {
    this->Announce(service, watch);
    return;
  }
  promotion::ChangeView view;
  view.former = this->context.primaries.Find(service)->endpoint_id;
  view.is_planned = change.is_planned;
  view.read_leases_expired = now >= *change.read_leases_expire_at;
  model::Term highest = 0;
  for (const auto& [id, endpoint] : this->context.endpoints) {
    if (endpoint.service != service) {
      continue;
    }
    ChangeMember member = change.members[id];
    member.id = id;
    member.is_eligible = this->IsEligible(id);
    highest = std::max(highest, member.term);
    view.members.push_back(member);
  }
  if (change.next_term == 0 && highest > 0) {
    change.next_term = highest + 1;
  }
  view.next_term = change.next_term;
  if (view.next_term == 0) {
    return;
  }
  const ChangeStep step = promotion::NextStep(view);
  const bool touches_replica = step.action == ChangeAction::kPause ||
                               step.action == ChangeAction::kResume;
  if (!change.promoting.empty() && touches_replica) {
    // The platform is carrying out the promotion.
    return;
  }
  this->TakeStep(service, watch, step, now);
}

void FailoverManager::TakeStep(const std::string& service, ServiceWatch& watch,
                               const ChangeStep& step, Instant now) {
  ServiceChange& change = *watch.change;
  if (step != change.last_step && step.action != ChangeAction::kWait) {
    LogEvent(kChangeStep,
             {{"service", service},
              {"action", ToString(step.action)},
              {"endpoint", step.endpoint},
              {"term", change.next_term},
              {"elapsed_ms", kernel::ToMilliseconds(now - change.started)}});
  }
  change.last_step = step;
  switch (step.action) {
    case ChangeAction::kWait:
      return;
    case ChangeAction::kPause:
      if (change.members[step.endpoint].has_answered) {
        change.members[step.endpoint].has_answered = false;
        change.asked[step.endpoint] = now + kAskTimeout;
        this->Command(service, step.endpoint,
                      platform_adapter::PauseText(change.next_term));
      }
      return;
    case ChangeAction::kResume:
      change.members[step.endpoint].has_answered = false;
      change.asked[step.endpoint] = now + kAskTimeout;
      this->Command(service, step.endpoint, platform_adapter::ResumeText());
      return;
    case ChangeAction::kPromote:
      this->Promote(service, watch, step.endpoint, now);
      return;
    case ChangeAction::kPublish:
      this->Publish(service, watch, step.endpoint,
                    change.members[step.endpoint].term);
      return;
  }
}

void FailoverManager::Promote(const std::string& service, ServiceWatch& watch,
                              const std::string& endpoint_id, Instant now) {
  if (now + kLeaderLeaseMargin >= this->lease.HeldUntil()) {
    return;
  }
  ServiceChange& change = *watch.change;
  // Once the platform was asked, no other endpoint may be named: the answer may
  // be lost while the call takes effect.
  if ((!change.promoting.empty() && change.promoting != endpoint_id) ||
      now < change.call_again_at) {
    return;
  }
  change.promoting = endpoint_id;
  change.is_calling = true;
  auto& channel = this->channels[service];
  if (!channel) {
    channel = std::make_unique<transport::HttpChannel>(
        this->context.loop, this->context.settings.promotion_address);
  }
  if (channel->IsBusy()) {
    change.is_calling = false;
    return;
  }
  channel->Send(
      platform_adapter::PromotionCall(service, endpoint_id,
                                      this->context.settings.vm,
                                      this->lease.Record()->token),
      [this, service, endpoint_id](const transport::HttpAnswer& answer) {
        LogEvent(kChangeStep, {{"service", service},
                               {"action", "promotion_answered"},
                               {"endpoint", endpoint_id},
                               {"status", answer.status}});
        ServiceWatch* watched = this->FindChanging(service);
        if (watched == nullptr) {
          return;
        }
        ServiceChange& called = *watched->change;
        called.is_calling = false;
        called.call_again_at = this->context.clock.Now() + kPromotionPause;
        if (answer.status != transport::HttpAnswer::kOk && answer.status != 0) {
          called.promoting.clear();
        }
      });
}

void FailoverManager::Publish(const std::string& service, ServiceWatch& watch,
                              const std::string& endpoint_id,
                              model::Term term) {
  watch.change->is_publishing = true;
  const std::string former = this->context.primaries.Find(service)->endpoint_id;
  for (const auto& [id, endpoint] : this->context.endpoints) {
    if (endpoint.service != service || id == endpoint_id) {
      continue;
    }
    this->Command(service, id,
                  id == former ? platform_adapter::StepDownText(term)
                               : platform_adapter::ResumeText());
  }
  this->WritePrimary(
      {service, endpoint_id, term, false, 0},
      [this, service, endpoint_id, term](bool is_done) {
        ServiceWatch* published = this->FindChanging(service);
        if (published == nullptr) {
          return;
        }
        if (!is_done) {
          published->change->is_publishing = false;
          return;
        }
        LogEvent(kChangeEnded,
                 {{"service", service},
                  {"endpoint", endpoint_id},
                  {"term", term},
                  {"elapsed_ms",
                   kernel::ToMilliseconds(this->context.clock.Now() -
                                          published->change->started)}});
        published->change.reset();
        published->has_lost_lead = false;
        published->last_answer = this->context.clock.Now();
      });
}

}  // namespace laburnumkeel::proxy
