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
  // Its last status does not reach the session's position, but it was keeping
  // up and has probably applied it meanwhile.
  kProbableReplica,
  // The last status is older than 3 s: used only after all others.
  kUnresponsiveReplica,
  // No replica satisfies the requirement, or those before it failed.
  kPrimaryFallback,
  kPrimaryRequired,
};

std::string_view ToString(ReadReason reason);

struct ReadCandidate {
  std::string endpoint;
  ReadReason reason = ReadReason::kPrimaryFallback;
  // True when the response may be used only after `IsPrimaryConfirmed`.
  bool needs_confirmation = false;

  bool operator==(const ReadCandidate&) const = default;
};

enum class ReadVerdict {
  kSufficient,
  // The response is too old for the session; ask the primary.
  kInsufficient,
  // The response shows that the newest term does not contain the session's
  // position.
  kPositionLost,
};

// Chooses endpoints for reads. Replicas come before the primary, those of the
// own data centre before others; `rotation` rotates equal ones.
//
// Statuses are up to a polling period old, so a session that has just seen a
// new position would be sent to the primary although all replicas applied it.
// Such a read tries one probable replica before the primary:
// `CheckReadResponse` rejects its response if it is too old after all.
class ReadRouter {
 public:
  // A status older than this means that the endpoint may not be reachable.
  static constexpr kernel::Duration kUnresponsiveAfter =
      std::chrono::seconds(3);

  // Reported staleness up to which a replica counts as keeping up with its
  // primary, and the age of a status up to which this still says something.
  static constexpr std::chrono::milliseconds kKeepingUp{100};
  static constexpr kernel::Duration kKeepingUpFor = std::chrono::seconds(1);

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

// Checks the state that a response was made from against the session:
// `response` is the term of the last applied entry and the applied position.
ReadVerdict CheckReadResponse(const GroupView& view,
                              const ReadRequirement& requirement,
                              const std::string& endpoint,
                              const model::LogPosition& response);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_READ_ROUTER_H_
