#ifndef LABURNUMKEEL_ROUTING_READ_REQUIREMENT_H_
#define LABURNUMKEEL_ROUTING_READ_REQUIREMENT_H_

#include <chrono>
#include <optional>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::routing {

// What the state that a read sees must satisfy; all given parts apply. Without
// any part the bound is `kDefaultStaleness`.
struct ReadRequirement {
  static constexpr std::chrono::milliseconds kDefaultStaleness{1000};

  // `max_staleness_ms` of the request.
  std::optional<std::chrono::milliseconds> accepted_staleness;
  // Position of the group in the session token.
  std::optional<model::LogPosition> session_position;
  // The read must run on a primary whose term is confirmed by a majority after
  // the read began, as for an unsettled session.
  bool confirmed_primary = false;

  // The bound on staleness in effect. Empty when only the session's position
  // matters.
  std::optional<std::chrono::milliseconds> StalenessBound() const {
    if (this->accepted_staleness || this->session_position) {
      return this->accepted_staleness;
    }
    return kDefaultStaleness;
  }

  bool operator==(const ReadRequirement&) const = default;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_READ_REQUIREMENT_H_
