#include "laburnumkeel/routing/primary_table.h"

#include <algorithm>

namespace laburnumkeel::routing {

bool PrimaryTable::Adopt(const PrimaryRecord& record) {
  PrimaryRecord& known = this->records[record.service];
  if (record.version <= known.version ||
      (record.IsRestored() && known.version > 0 && record.term <= known.term)) {
    return false;
  }
  if (record.endpoint_id != known.endpoint_id) {
    this->read_lease_until.erase(record.service);
  }
  known = record;
  return true;
}

void PrimaryTable::Confirm(const std::string& service, std::uint64_t version,
                           kernel::Instant as_of) {
  const auto known = this->records.find(service);
  if (known == this->records.end() || known->second.version != version ||
      known->second.is_changing || known->second.IsRestored()) {
    return;
  }
  kernel::Instant& until = this->read_lease_until[service];
  until = std::max(until, as_of + kReadLeaseLifetime);
}

void PrimaryTable::ConfirmAll(std::uint64_t version, kernel::Instant as_of) {
  for (const auto& [service, record] : this->records) {
    if (record.version <= version) {
      this->Confirm(service, record.version, as_of);
    }
  }
}

std::uint64_t PrimaryTable::NewestVersion() const {
  std::uint64_t newest = 0;
  for (const auto& [service, record] : this->records) {
    newest = std::max(newest, record.version);
  }
  return newest;
}

const PrimaryRecord* PrimaryTable::Find(const std::string& service) const {
  const auto known = this->records.find(service);
  return known == this->records.end() ? nullptr : &known->second;
}

bool PrimaryTable::HasReadLease(const std::string& service,
                                kernel::Instant now) const {
  return now < this->ReadLeaseUntil(service);
}

kernel::Instant PrimaryTable::ReadLeaseUntil(const std::string& service) const {
  const auto until = this->read_lease_until.find(service);
  return until == this->read_lease_until.end() ? kernel::Instant()
                                               : until->second;
}

}  // namespace laburnumkeel::routing
