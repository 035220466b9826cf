#ifndef LABURNUMKEEL_ROUTING_READ_ROUTER_H_
#define LABURNUMKEEL_ROUTING_READ_ROUTER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/routing/group_view.h"
#include "laburnumkeel/routing/read_requirement.h"
#include "laburnumkeel/routing/routing_error.h"

namespace laburnumkeel::routing {

enum class ReadReason {
  kLocalReplica,
  kRemoteReplica,
  // Its last status is behind the session's position, but its lag was low, so
  // it has probably applied that position since.
  kProbableReplica,
  // The last status is older than 3 s: used only after all others.
  kUnresponsiveReplica,
  // No replica satisfies the requirement, or the replicas tried before failed.
  kPrimaryFallback,
  kPrimaryRequired,
};

std::string_view ToString(ReadReason reason);

struct ReadCandidate {
  std::string endpoint;
  ReadReason reason = ReadReason::kPrimaryFallback;
  // True if the response can be used only once `IsPrimaryConfirmed` holds.
  bool needs_confirmation = false;

  bool operator==(const ReadCandidate&) const = default;
};

enum class ReadVerdict {
  kSufficient,
  // The response is too old for the session; try the primary.
  kInsufficient,
  // The response shows that the newest term does not contain the session's
  // position.
  kPositionLost,
};

// Chooses endpoints for reads. Replicas come before the primary, and those of
// the local data centre before others. `rotation` balances the load over equal
// candidates.
//
// Statuses are up to one polling period old, so a session that has just
// observed a new position would use the primary although all replicas have
// applied the position since. Such a read tries one probable replica before the
// primary. `CheckReadResponse` rejects the response if it is too old after all.
class ReadRouter {
 public:
  // An endpoint whose status is older than this may be unreachable.
  static constexpr kernel::Duration kUnresponsiveAfter =
      std::chrono::seconds(3);

  // A replica counts as keeping up with its primary if it reported at most this
  // staleness, in a status of at most this age.
  static constexpr std::chrono::milliseconds kKeepingUpStaleness{100};
  static constexpr kernel::Duration kKeepingUpStatusAge =
      std::chrono::seconds(1);

  explicit ReadRouter(std::string data_centre)
      : data_centre(std::move(data_centre)) {}

  // Candidates in the order in which they are tried; not empty. `rotation` is
  // any number that differs between requests, for example a counter.
  kernel::Result<std::vector<ReadCandidate>, RoutingError> Route(
      const GroupView& view, const ReadRequirement& requirement,
      std::uint64_t rotation, kernel::Instant now) const;

 private:
  std::string data_centre;
};

// Checks whether the state that a response was read from satisfies the session.
// `response` is the term of the last applied entry and the applied position.
ReadVerdict CheckReadResponse(const GroupView& view,
                              const ReadRequirement& requirement,
                              const std::string& endpoint,
                              const model::LogPosition& response);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_READ_ROUTER_H_
