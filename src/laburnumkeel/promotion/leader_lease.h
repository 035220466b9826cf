#ifndef LABURNUMKEEL_PROMOTION_LEADER_LEASE_H_
#define LABURNUMKEEL_PROMOTION_LEADER_LEASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::promotion {

// The published holder of the leader lease: the VM that may change primaries.
struct LeaderRecord {
  // Name of the VM; empty when the lease was released.
  std::string holder;
  // Where the holder answers questions of other VMs, `IP:port`.
  std::string address;
  // Grows with each holder and is never reused.
  std::uint64_t token = 0;
  // The store's clock when the record was sent, or a little later, in
  // milliseconds.
  std::int64_t renewed_at_ms = 0;
  // VMs that hold no share of any limit: their last one has lapsed.
  std::set<std::string> inactive_vms;
  // Operations of each account's limit that the holder has not granted, and
  // that a successor may.
  std::map<std::string, std::int64_t> withheld_operations;

  bool operator==(const LeaderRecord&) const = default;
};

// Decides who may change primaries. The record is written under the condition
// that its version is the one last read, so only one VM can acquire the lease.
// A holder relies on its record for kLifetime from when it *sent* the last
// renewal; a rival waits for longer from when it *saw* the record change, or by
// the store's clock, which also serves a process that has just started.
// Rates of the VMs' clocks may differ by a tenth.
class LeaderLease {
 public:
  // Covers store outages of several seconds; bounds, with kAcquireDelay, how
  // long no primary can be changed after the holder's VM is lost.
  static constexpr std::chrono::milliseconds kLifetime{5000};
  static constexpr std::chrono::milliseconds kAcquireDelay{5700};
  // Five renewals in a lifetime.
  static constexpr std::chrono::milliseconds kRenewalPeriod{1000};
  // Between renewals that let clients' operations pass: ten writes a second of
  // one VM are few beside what the store takes.
  static constexpr std::chrono::milliseconds kMinimumRenewalPeriod{100};
  // Two readings of the store.
  static constexpr std::chrono::milliseconds kReadingLifetime{1000};

  explicit LeaderLease(std::string vm) : vm(std::move(vm)) {}

  // The record was read at that version; `store_now_ms` is the store's clock
  // when it answered.
  void Observe(const LeaderRecord& record, std::uint64_t version,
               std::int64_t store_now_ms, kernel::Instant now);

  // No record exists.
  void ObserveAbsent(kernel::Instant now);

  // A write of this VM, sent at `sent`, made `record` current.
  void OnWritten(const LeaderRecord& record, std::uint64_t version,
                 kernel::Instant sent);

  // True while no other VM can have taken over.
  bool IsHeld(kernel::Instant now) const { return now < this->held_until; }

  // The holder can rely on the leader lease until then; zero when it is not
  // held.
  kernel::Instant HeldUntil() const { return this->held_until; }

  // True when this VM may write itself as the holder, by a recent reading. A
  // restarted process of the same VM need not wait: its predecessor is gone.
  bool MayAcquire(kernel::Instant now) const;

  const std::optional<LeaderRecord>& Record() const { return this->record; }
  std::uint64_t Version() const { return this->version; }

 private:
  const std::string vm;
  std::optional<LeaderRecord> record;
  std::uint64_t version = 0;
  std::optional<kernel::Instant> read_at;
  kernel::Instant changed_at;
  kernel::Instant held_until;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_LEADER_LEASE_H_
