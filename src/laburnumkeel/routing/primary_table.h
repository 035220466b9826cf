#ifndef LABURNUMKEEL_ROUTING_PRIMARY_TABLE_H_
#define LABURNUMKEEL_ROUTING_PRIMARY_TABLE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/model/store_version.h"

namespace laburnumkeel::routing {

// The published primary of a service.
struct PrimaryRecord {
  std::string service;
  std::string endpoint_id;
  model::Term term = 0;
  // Another endpoint may become the primary once kReadLeaseLifetime has passed
  // since this record was published.
  bool is_changing = false;
  // Increases with each publication.
  std::uint64_t version = 0;
  // Era of the store in which the record was published.
  std::uint64_t store_era = 0;
  // The endpoint is out of the leader's reach, all other endpoints are paused,
  // and one of them may be promoted at any moment. What the endpoint commits
  // from now on may be missing from the next primary's log.
  bool is_lost = false;
  // Commits up to here were known to be acknowledged when the endpoint became
  // the primary. An endpoint that lacks one of them has not followed it yet.
  model::LogPosition committed{};

  // True when the store was restored since: newer records may be lost.
  bool IsRestored() const {
    return this->store_era < model::EraOf(this->version);
  }

  // The check mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PrimaryRecord&) const = default;
};

// The primaries known to a VM, and how long it can rely on each. A promoter
// publishes that a change begins, waits for kReadLeaseLifetime, and only then
// promotes. A VM that knows that no change had begun at an instant can
// therefore read from the primary for kReadLeaseLifetime after that instant,
// whatever it is disconnected from meanwhile.
class PrimaryTable {
 public:
  // A failover waits for read leases to expire, so their lifetime stays well
  // below the 14 s within which a change of primary has to be complete. It
  // spans several renewal periods, so that lost messages do not interrupt
  // reads.
  static constexpr std::chrono::milliseconds kReadLeaseLifetime{1500};

  // Replaces the known record if this one is newer; returns whether it is. A
  // record of a restored store is newer only in a later term.
  bool Adopt(const PrimaryRecord& record);

  // Renews the read lease: at `as_of`, `version` was the newest record of the
  // service. A record that announces a change gets no lease, nor does one of a
  // restored store, which may lack such a record.
  void Confirm(const std::string& service, std::uint64_t version,
               kernel::Instant as_of);

  // Renews all read leases: at `as_of`, nothing newer than `version` had been
  // published, and this table contains all records up to that version.
  void ConfirmAll(std::uint64_t version, kernel::Instant as_of);

  // Version of the newest record; 0 if there is none.
  std::uint64_t NewestVersion() const;

  // Null if nothing was published for the service.
  const PrimaryRecord* Find(const std::string& service) const;

  // True if this VM has a read lease: the endpoint of the record is the only
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
