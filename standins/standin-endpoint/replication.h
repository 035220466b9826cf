#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATION_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATION_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "laburnumkeel/model/log_position.h"
#include "standins/standin-endpoint/log_entry.h"

namespace laburnumkeel::standins {

// The body of `POST /v1/replicate`. Without entries it is a heartbeat.
struct Replication {
  model::Term term = 0;
  // The position that the entries follow.
  model::LogPosition previous;
  std::vector<LogEntry> entries;
  // End of the primary's log, which the entries need not reach.
  std::uint64_t primary_end = 0;

  bool operator==(const Replication&) const = default;
};

nlohmann::json ToJson(const Replication& replication);

// Throws nlohmann::json::exception on a missing field or a wrong type.
Replication ReplicationFromJson(const nlohmann::json& document);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATION_H_
