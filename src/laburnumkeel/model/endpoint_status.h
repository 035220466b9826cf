#ifndef LABURNUMKEEL_MODEL_ENDPOINT_STATUS_H_
#define LABURNUMKEEL_MODEL_ENDPOINT_STATUS_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::model {

enum class EndpointRole { kPrimary, kReplica };

// An endpoint's status, as returned by `GET /v1/status`.
struct EndpointStatus {
  std::string endpoint;
  std::string group;
  EndpointRole role = EndpointRole::kReplica;
  // Highest term that the endpoint has sealed or joined. It refuses writes and
  // replication of lower terms.
  Term sealed_term = 0;
  // Term and position of the last entry of its log.
  LogPosition log_end;
  // Position up to which log entries are visible to reads.
  std::uint64_t applied_position = 0;
  // Milliseconds since the applied state equalled the primary's.
  std::int64_t staleness_ms = 0;
  // Terms of the log in ascending order.
  std::vector<TermStart> term_starts;

  bool operator==(const EndpointStatus&) const = default;
};

std::string_view ToString(EndpointRole role);

nlohmann::json ToJson(const EndpointStatus& status);

// Empty when a field is missing or has the wrong type.
std::optional<EndpointStatus> EndpointStatusFromJson(
    const nlohmann::json& document);

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_ENDPOINT_STATUS_H_
