#ifndef LABURNUMKEEL_ROUTING_PRIMARY_TABLE_H_
#define LABURNUMKEEL_ROUTING_PRIMARY_TABLE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::routing {

// The published primary of a service.
struct PrimaryRecord {
  std::string service;
  std::string endpoint_id;
  model::Term term = 0;
  // Another endpoint may lead from kReadLeaseLifetime after this was published.
  bool is_changing = false;
  // Increases with each publication.
  std::uint64_t version = 0;

  // The check takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PrimaryRecord&) const = default;
};

// What a VM knows about the primaries, and how long it can rely on it. A
// promoter publishes that a change begins, waits for kReadLeaseLifetime, and
// only then promotes: a VM that knows that no change had begun at an instant
// can read from the primary for that time, whatever it is cut off from.
class PrimaryTable {
 public:
  // Lifetime of a read lease. A failover waits for it, so it stays well below
  // the 14 s within which a change of primary has to be over; it spans several
  // periods of renewal, so that lost messages do not interrupt reads.
  static constexpr std::chrono::milliseconds kReadLeaseLifetime{1500};

  // Takes over a newer record. False when it is not newer.
  bool Adopt(const PrimaryRecord& record);

  // At `as_of` the record of that version was the newest.
  void Confirm(const std::string& service, std::uint64_t version,
               kernel::Instant as_of);

  // At `as_of` nothing newer than `version` was published, and this table
  // lacks nothing up to it.
  void ConfirmAll(std::uint64_t version, kernel::Instant as_of);

  // Version of the newest record; 0 without one.
  std::uint64_t NewestVersion() const;

  // Null when nothing was published.
  const PrimaryRecord* Find(const std::string& service) const;

  // True when this VM has a read lease: the endpoint of the record is the only
  // one that can acknowledge commits at `now`.
  bool HasReadLease(const std::string& service, kernel::Instant now) const;

  // Instant until which the read lease is valid; zero without one.
  kernel::Instant ReadLeaseUntil(const std::string& service) const;

  const std::map<std::string, PrimaryRecord>& Records() const {
    return this->records;
  }

 private:
  std::map<std::string, PrimaryRecord> records;
  std::map<std::string, kernel::Instant> read_lease_until;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_PRIMARY_TABLE_H_
