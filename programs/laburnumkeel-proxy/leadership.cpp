#include "programs/laburnumkeel-proxy/leadership.h"

#include <algorithm>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/model/store_version.h"
#include "programs/laburnumkeel-proxy/events.h"
#include "programs/laburnumkeel-proxy/fleet_rows.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using kernel::LogEvent;
using std::chrono::milliseconds;
using WriteOutcome = StoreLink::WriteOutcome;

namespace {

// The leader answers reports of all other VMs, so a VM that may use less
// processor time than another one lets larger VMs acquire the leader lease
// first. Covers two readings of the fleet table by those.
constexpr milliseconds kSmallerVmAcquireDelay{1000};

}  // namespace

Leadership::Leadership(ProxyContext& context, StoreLink& store,
                       std::function<void()> on_released)
    : context(context),
      store(store),
      on_released(std::move(on_released)),
      lease(context.settings.vm),
      duties(context, this->lease) {}

bool Leadership::IsLeader() const {
  return this->lease.IsHeld(this->context.clock.Now());
}

void Leadership::OnLeaderRow(const promotion::LeaderRecord* record,
                             std::uint64_t version, std::int64_t store_now_ms) {
  const Instant now = this->context.clock.Now();
  if (record == nullptr) {
    this->lease.ObserveAbsent(version, now);
  } else {
    this->lease.Observe(*record, version, store_now_ms, now);
  }
  if (this->lease.IsRestored() && this->lease.IsHeld(now)) {
    // Until then, a VM that starts cannot know that the lease is held.
    this->RenewSoon();
  }
}

void Leadership::Tick(Instant now) {
  if (!this->context.configuration) {
    return;
  }
  this->Renew(now);
  this->duties.Tick();
  const bool is_leader = this->lease.IsHeld(now);
  if (is_leader != this->was_leader) {
    const std::string version = model::VersionText(this->lease.Version());
    if (is_leader) {
      LogEvent(kDutyTaken,
               {{"token", this->Token()},
                {"row_version", version},
                {"predecessor", ToString(this->lease.AcquiredBy())}});
    } else {
      LogEvent(kDutyLost, {{"token", this->Token()},
                           {"row_version", version},
                           {"reason", "expired"}});
    }
    this->was_leader = is_leader;
    this->Notify();
  }
  if (this->is_lease_released) {
    this->PublishReleaseWhenSettled();
  }
}

void Leadership::Notify() {
  for (const auto& observer : this->change_observers) {
    observer();
  }
}

void Leadership::Renew(Instant now) {
  if (this->is_renewal_pending || this->is_lease_released ||
      now < this->next_renewal_at) {
    return;
  }
  const bool is_leader = this->lease.IsHeld(now);
  if (!is_leader && (!this->may_acquire || !this->IsAcquireDue(now))) {
    return;
  }
  const promotion::LeaderRecord record = this->MakeRecord(is_leader, now);
  limits::WithheldOperations inherited;
  if (!is_leader && this->lease.Record()) {
    inherited = this->lease.Record()->withheld_operations;
  }
  this->is_renewal_pending = true;
  this->renewal_sent_at = now;
  this->next_renewal_at = now + promotion::LeaderLease::kRenewalPeriod;
  this->WriteLeader(record, [this, record, now, is_leader,
                             inherited](const WriteOutcome& outcome) {
    this->is_renewal_pending = false;
    if (this->is_lease_released) {
      // The release waited for the version that this write leaves behind.
      if (outcome.kind == WriteOutcome::Kind::kDone) {
        this->lease.OnWritten(record, outcome.version, now);
        this->PublishReleaseWhenSettled();
      }
      return;
    }
    if (outcome.kind == WriteOutcome::Kind::kDone) {
      if (!is_leader) {
        this->leader_since = this->context.clock.Now();
        this->inherited_operations = inherited;
        this->store.ReadFleetSoon();
      }
      this->lease.OnWritten(record, outcome.version, now);
    } else {
      this->store.ReadFleetSoon();
    }
  });
}

void Leadership::RenewSoon() {
  this->next_renewal_at = std::min(
      this->next_renewal_at,
      this->renewal_sent_at + promotion::LeaderLease::kMinimumRenewalPeriod);
}

promotion::LeaderRecord Leadership::MakeRecord(bool is_leader,
                                               Instant now) const {
  promotion::LeaderRecord record;
  record.holder = this->context.settings.vm;
  record.address = this->context.settings.PeerAddress();
  record.renewed_at_ms = this->store.StoreNowMs(now);
  record.store_era = this->store.Era();
  const auto& previous = this->lease.Record();
  if (is_leader) {
    record.token = previous->token;
    const Handover handover = this->handover_source();
    record.inactive_vms = handover.inactive_vms;
    record.withheld_operations = handover.withheld_operations;
    record.delegates = handover.delegates;
    return record;
  }
  record.token = this->lease.NextToken(record.store_era);
  if (previous) {
    record.delegates = previous->delegates;
    record.inactive_vms = previous->inactive_vms;
    // This VM may grant half of the inherited operations before its first
    // renewal.
    for (const auto& [account, operations] : previous->withheld_operations) {
      record.withheld_operations[account] = operations / 2;
    }
  } else if (record.store_era > 0) {
    // The store was restored from a copy without a record.
    record.delegates = membership::DelegateRing::Unsettled();
  }
  return record;
}

bool Leadership::IsAcquireDue(Instant now) {
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
  return this->store.IsLargestVm() ||
         now >= this->acquirable_since + kSmallerVmAcquireDelay;
}

void Leadership::Release() {
  if (std::exchange(this->is_lease_released, true) || !this->IsLeader()) {
    return;
  }
  this->duties.Stop();
  this->Notify();
  this->PublishReleaseWhenSettled();
}

void Leadership::PublishReleaseWhenSettled() {
  // A write under way changes the version on which the release depends. A
  // successor acquires a released lease at once, and its calls must not be
  // followed by one of this VM or its predecessors.
  if (!this->is_renewal_pending && this->duties.IsSettled() &&
      this->lease.HavePredecessorsSettled(this->context.clock.Now())) {
    this->PublishRelease();
  }
}

void Leadership::PublishRelease() {
  const Instant now = this->context.clock.Now();
  if (!this->lease.IsHeld(now)) {
    return;
  }
  promotion::LeaderRecord record = this->MakeRecord(true, now);
  record.holder.clear();
  // Another VM may acquire the lease as soon as the store has the record, which
  // can be long before this VM learns of it.
  this->lease.Relinquish();
  LogEvent(kDutyLost,
           {{"token", record.token},
            {"row_version", model::VersionText(this->lease.Version())},
            {"reason", "released"}});
  this->was_leader = false;
  this->WriteLeader(record, [this](const WriteOutcome& outcome) {
    if (outcome.kind == WriteOutcome::Kind::kDone) {
      this->on_released();
    }
  });
}

void Leadership::WriteLeader(const promotion::LeaderRecord& record,
                             std::function<void(const WriteOutcome&)> handler) {
  const std::string table(kFleetTable);
  const std::string key(kLeaderKey);
  this->store.Write(
      [table, key, record, version = this->lease.Version()] {
        return StoreLink::Transaction{{{table, key, version}},
                                      {{table, key, EncodeLeader(record)}}};
      },
      std::move(handler));
}

}  // namespace laburnumkeel::proxy
