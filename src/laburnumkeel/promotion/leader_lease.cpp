#include "laburnumkeel/promotion/leader_lease.h"

#include <algorithm>

#include "laburnumkeel/model/store_version.h"

namespace laburnumkeel::promotion {

std::string_view ToString(Acquisition acquisition) {
  switch (acquisition) {
    case Acquisition::kReleased:
      return "released";
    case Acquisition::kExpired:
      return "expired";
    case Acquisition::kOwn:
      return "own";
  }
  return "unknown";
}

void LeaderLease::Observe(const LeaderRecord& new_record,
                          std::uint64_t new_version, std::int64_t store_now_ms,
                          kernel::Instant now) {
  this->read_at = now;
  if (new_version < this->version) {
    return;
  }
  const std::chrono::milliseconds age(
      std::max<std::int64_t>(0, store_now_ms - new_record.renewed_at_ms));
  if (new_version == this->version) {
    if (!this->is_restored) {
      this->changed_at = std::min(this->changed_at, now - age);
    }
    return;
  }
  if (new_record.store_era < model::EraOf(new_version)) {
    this->ObserveRestored(new_record, new_version, now);
    return;
  }
  this->is_restored = false;
  this->version = new_version;
  this->record = new_record;
  this->changed_at = now - age;
  if (new_record.holder != this->vm) {
    this->held_until = kernel::Instant();
  }
}

void LeaderLease::ObserveRestored(const LeaderRecord& restored_record,
                                  std::uint64_t restored_version,
                                  kernel::Instant now) {
  this->is_restored = true;
  this->version = restored_version;
  this->changed_at = now;
  if (!this->record || this->record->token < restored_record.token) {
    this->record = restored_record;
    if (restored_record.holder != this->vm) {
      this->held_until = kernel::Instant();
    }
  }
  if (!this->IsHeld(now)) {
    // VMs may have got shares, and operations may have been granted, since this
    // record was written.
    this->record->inactive_vms.clear();
    this->record->withheld_operations.clear();
    // A ring that was published since is not known.
    this->record->delegates = membership::DelegateRing::Unsettled();
  }
}

std::uint64_t LeaderLease::NextToken(std::uint64_t store_era) const {
  constexpr std::uint64_t kTokensPerEra = 1'000'000;
  const std::uint64_t known = this->record ? this->record->token : 0;
  return std::max(known, store_era * kTokensPerEra) + 1;
}

void LeaderLease::ObserveAbsent(std::uint64_t store_version,
                                kernel::Instant now) {
  this->read_at = now;
  const std::uint64_t era = model::EraOf(store_version);
  if (this->record && model::EraOf(this->version) < era) {
    this->ObserveRestored(*this->record, model::StoreVersion(era, 0), now);
  }
}

void LeaderLease::OnWritten(const LeaderRecord& new_record,
                            std::uint64_t new_version, kernel::Instant sent) {
  if (!this->record || this->record->token != new_record.token) {
    this->acquired_by = this->NextAcquisition();
    // A holder releases the lease only when its calls have settled.
    this->predecessors_settle_at = this->acquired_by == Acquisition::kReleased
                                       ? kernel::Instant()
                                       : sent + kCallSettleTime;
  }
  this->is_restored = false;
  this->version = new_version;
  this->record = new_record;
  this->changed_at = sent;
  this->held_until =
      new_record.holder == this->vm ? sent + kLifetime : kernel::Instant();
}

Acquisition LeaderLease::NextAcquisition() const {
  if (this->is_restored) {
    return Acquisition::kExpired;
  }
  if (!this->record || this->record->holder.empty()) {
    return Acquisition::kReleased;
  }
  return this->record->holder == this->vm ? Acquisition::kOwn
                                          : Acquisition::kExpired;
}

bool LeaderLease::MayAcquire(kernel::Instant now) const {
  const bool was_read_recently =
      this->read_at && now < *this->read_at + kReadingLifetime;
  if (!was_read_recently || this->IsHeld(now)) {
    return false;
  }
  const bool is_free = !this->record || this->record->holder.empty() ||
                       this->record->holder == this->vm;
  if (is_free && !this->is_restored) {
    return true;
  }
  return now >= this->changed_at + kAcquireDelay;
}

}  // namespace laburnumkeel::promotion
