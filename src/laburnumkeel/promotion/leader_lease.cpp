#include "laburnumkeel/promotion/leader_lease.h"

#include <algorithm>

namespace laburnumkeel::promotion {

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
    this->changed_at = std::min(this->changed_at, now - age);
    return;
  }
  this->version = new_version;
  this->record = new_record;
  this->changed_at = now - age;
  if (new_record.holder != this->vm) {
    this->held_until = kernel::Instant();
  }
}

void LeaderLease::ObserveAbsent(kernel::Instant now) { this->read_at = now; }

void LeaderLease::OnWritten(const LeaderRecord& new_record,
                            std::uint64_t new_version, kernel::Instant sent) {
  this->version = new_version;
  this->record = new_record;
  this->changed_at = sent;
  this->held_until =
      new_record.holder == this->vm ? sent + kLifetime : kernel::Instant();
}

bool LeaderLease::MayAcquire(kernel::Instant now) const {
  const bool was_read_recently =
      this->read_at && now < *this->read_at + kReadingLifetime;
  if (!was_read_recently || this->IsHeld(now)) {
    return false;
  }
  if (!this->record || this->record->holder.empty() ||
      this->record->holder == this->vm) {
    return true;
  }
  return now >= this->changed_at + kAcquireDelay;
}

}  // namespace laburnumkeel::promotion
