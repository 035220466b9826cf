#ifndef LABURNUMKEEL_ROUTING_ROUTING_ERROR_H_
#define LABURNUMKEEL_ROUTING_ROUTING_ERROR_H_

#include <string>
#include <string_view>

namespace laburnumkeel::routing {

enum class RoutingFailure {
  // No primary is known, or the known one must not receive new work.
  kNoPrimary,
  // A term above the known primary's was observed: a promotion is in progress.
  kTermSuperseded,
  // No endpoint satisfies the requirement of the read.
  kNoCandidate,
  // The newest term does not contain the session's position.
  kSessionPositionLost,
};

// Error code of the caller API, for example `session_position_lost`.
std::string_view ToString(RoutingFailure failure);

// Why a request was not sent to any endpoint: its outcome is `not_run`.
struct RoutingError {
  RoutingFailure failure = RoutingFailure::kNoCandidate;
  std::string message;

  bool operator==(const RoutingError&) const = default;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_ROUTING_ERROR_H_
