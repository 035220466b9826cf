#ifndef LABURNUMKEEL_ROUTING_READ_REQUIREMENT_H_
#define LABURNUMKEEL_ROUTING_READ_REQUIREMENT_H_

#include <chrono>
#include <optional>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::routing {

// Requirements on the state that a read observes. All that are set apply; if
// none is, staleness is bounded by `kDefaultStaleness`.
struct ReadRequirement {
  static constexpr std::chrono::milliseconds kDefaultStaleness{1000};

  // `max_staleness_ms` of the request.
  std::optional<std::chrono::milliseconds> accepted_staleness;
  // Position of the group in the session token.
  std::optional<model::LogPosition> session_position;
  // The read must run on a primary whose term a majority confirms after the
  // read began. Unsettled sessions require this.
  bool confirmed_primary = false;

  // The effective bound on staleness. Empty if only the session's position
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
