#include "laburnumkeel/promotion/duty_lease.h"

namespace laburnumkeel::promotion {

void DutyLease::Observe(const DutyRecord& new_record, std::uint64_t new_version,
                        kernel::Instant now) {
  this->was_read = true;
  if (new_version <= this->version) {
    return;
  }
  this->version = new_version;
  this->record = new_record;
  this->changed_at = now;
  if (new_record.holder != this->vm) {
    this->held_until = kernel::Instant();
  }
}

void DutyLease::ObserveAbsent() { this->was_read = true; }

void DutyLease::OnWritten(const DutyRecord& new_record,
                          std::uint64_t new_version, kernel::Instant sent) {
  this->version = new_version;
  this->record = new_record;
  this->changed_at = sent;
  this->held_until =
      new_record.holder == this->vm ? sent + kLifetime : kernel::Instant();
}

bool DutyLease::MayClaim(kernel::Instant now) const {
  if (!this->was_read || this->IsHeld(now)) {
    return false;
  }
  if (!this->record || this->record->holder.empty() ||
      this->record->holder == this->vm) {
    return true;
  }
  return now >= this->changed_at + kTakeOverDelay;
}

}  // namespace laburnumkeel::promotion
