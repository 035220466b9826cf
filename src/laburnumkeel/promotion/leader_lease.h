#ifndef LABURNUMKEEL_PROMOTION_LEADER_LEASE_H_
#define LABURNUMKEEL_PROMOTION_LEADER_LEASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/membership/delegate_ring.h"

namespace laburnumkeel::promotion {

// The published holder of the leader lease: the VM that may change primaries.
struct LeaderRecord {
  // Name of the VM; empty when the lease was released.
  std::string holder;
  // `IP:port` at which the holder accepts requests from other VMs.
  std::string address;
  // Increases with each holder and is never reused.
  std::uint64_t token = 0;
  // Time of the store's clock, in milliseconds, when the record was sent or
  // shortly after.
  std::int64_t renewed_at_ms = 0;
  // VMs that hold no share of any limit: their last one has expired.
  std::set<std::string> inactive_vms;
  // Operations of each account's limit that the holder has not granted and
  // that a successor may grant.
  std::map<std::string, std::int64_t> withheld_operations;
  // Era of the store in which the record was written.
  std::uint64_t store_era = 0;
  // The VMs that hold the accounts' limits.
  membership::DelegateRing delegates{};

  bool operator==(const LeaderRecord&) const = default;
};

// What this VM knows of the holder from which it acquired the leader lease.
enum class Acquisition {
  // There was none, or it had released the lease.
  kReleased,
  // Its lease expired, or the store was restored and may lack another holder.
  kExpired,
  // It was this VM itself, or an earlier process of it.
  kOwn,
};

// The name in log lines.
std::string_view ToString(Acquisition acquisition);

// Decides who may change primaries. The record is written under the condition
// that its version is the one last read, so only one VM can acquire the lease.
// The holder relies on its record for `kLifetime` after it *sent* the last
// renewal. Another VM waits for the longer `kAcquireDelay` after it *observed*
// the record change or, by the store's clock, after the renewal; the latter
// also works for a process that has just started. Clock rates of the VMs may
// differ by a tenth.
//
// When the store is restored from a copy, renewals and even holders since the
// copy are gone. The newest record known to a VM then remains its record, and
// any VM but the holder waits for `kAcquireDelay` after it learned of the
// restore. What the record says of shares and withheld operations is void.
class LeaderLease {
 public:
  // Covers store outages of several seconds; bounds, with kAcquireDelay, how
  // long no primary can be changed after the holder's VM is lost.
  static constexpr std::chrono::milliseconds kLifetime{5000};
  static constexpr std::chrono::milliseconds kAcquireDelay{5700};
  // Five renewals within `kLifetime`.
  static constexpr std::chrono::milliseconds kRenewalPeriod{1000};
  // A call that acts for the holder is given up after this time, which includes
  // connecting.
  static constexpr std::chrono::milliseconds kCallTimeout{1500};
  // Minimum time from the end of a call to that of the lease; covers what has
  // left the VM but not arrived.
  static constexpr std::chrono::milliseconds kCallMargin{500};
  // Minimum time between renewals that admit clients' operations: ten writes a
  // second from one VM are a small load for the store.
  static constexpr std::chrono::milliseconds kMinimumRenewalPeriod{100};
  // Covers two readings of the store.
  static constexpr std::chrono::milliseconds kReadingLifetime{1000};

  explicit LeaderLease(std::string vm) : vm(std::move(vm)) {}

  // Processes a record read at `version`; `store_now_ms` is the store's clock
  // at the time of its response.
  void Observe(const LeaderRecord& record, std::uint64_t version,
               std::int64_t store_now_ms, kernel::Instant now);

  // Processes a reading that found no record; the store was at `store_version`.
  void ObserveAbsent(std::uint64_t store_version, kernel::Instant now);

  // Processes a successful write of `record` by this VM, sent at `sent`.
  void OnWritten(const LeaderRecord& record, std::uint64_t version,
                 kernel::Instant sent);

  // This VM gives up the lease, or publishes that it does. It no longer relies
  // on its record, whether or not another VM learns of that.
  void Relinquish() { this->held_until = kernel::Instant(); }

  // Returns true while no other VM can have acquired the lease.
  bool IsHeld(kernel::Instant now) const { return now < this->held_until; }

  // Returns true while the store holds no record written since it was restored.
  bool IsRestored() const { return this->is_restored; }

  // The server of a call executes what it has received within this time after
  // the call was given up without an answer.
  static constexpr std::chrono::milliseconds kCallSettleTime{2000};

  // Returns true when no call of a predecessor can be executed any more.
  bool HavePredecessorsSettled(kernel::Instant now) const {
    return now >= this->predecessors_settle_at;
  }

  // Returns true when no call of a predecessor can be executed any more, and a
  // call that starts now is over before the lease may end.
  bool MayCall(kernel::Instant now) const {
    return this->HavePredecessorsSettled(now) &&
           now + kCallTimeout + kCallMargin <= this->held_until;
  }

  // Time until which this VM holds the leader lease; zero when it does not.
  kernel::Instant HeldUntil() const { return this->held_until; }

  // Returns true when, by a recent reading, this VM may write itself as the
  // holder. A restarted process of the same VM need not wait, because its
  // predecessor has ended, except in a restored store, which may lack another
  // holder.
  bool MayAcquire(kernel::Instant now) const;

  // Token with which this VM acquires the lease. Each era of the store has its
  // own tokens, as a restored store may lack holders of the era before.
  std::uint64_t NextToken(std::uint64_t store_era) const;

  // How this VM acquired the lease with the token of `Record`.
  Acquisition AcquiredBy() const { return this->acquired_by; }

  const std::optional<LeaderRecord>& Record() const { return this->record; }
  std::uint64_t Version() const { return this->version; }

 private:
  // How this VM would acquire the lease now.
  Acquisition NextAcquisition() const;
  void ObserveRestored(const LeaderRecord& restored_record,
                       std::uint64_t restored_version, kernel::Instant now);

  const std::string vm;
  std::optional<LeaderRecord> record;
  // The version on which a write depends.
  std::uint64_t version = 0;
  // The store was restored since the record at `version` was written.
  bool is_restored = false;
  std::optional<kernel::Instant> read_at;
  kernel::Instant changed_at;
  kernel::Instant held_until;
  Acquisition acquired_by = Acquisition::kReleased;
  kernel::Instant predecessors_settle_at;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_LEADER_LEASE_H_
