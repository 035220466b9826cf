#include "laburnumkeel/routing/routing_error.h"

namespace laburnumkeel::routing {

std::string_view ToString(RoutingFailure failure) {
  switch (failure) {
    case RoutingFailure::kNoPrimary:
      return "no_primary";
    case RoutingFailure::kTermSuperseded:
      return "term_superseded";
    case RoutingFailure::kNoCandidate:
      return "no_candidate";
    case RoutingFailure::kSessionPositionLost:
      return "session_position_lost";
  }
  return "no_candidate";
}

}  // namespace laburnumkeel::routing
