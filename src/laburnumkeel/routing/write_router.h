#ifndef LABURNUMKEEL_ROUTING_WRITE_ROUTER_H_
#define LABURNUMKEEL_ROUTING_WRITE_ROUTER_H_

#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/routing/group_view.h"
#include "laburnumkeel/routing/routing_error.h"

namespace laburnumkeel::routing {

// A primary that was taken out of service still receives work for this time, so
// that callers do not have to wait for the planned promotion of its successor.
// A VM learns of the change up to 2 s late; the sum stays below the bound of
// 5 s.
inline constexpr kernel::Duration kDepartureGrace = std::chrono::seconds(2);

// True unless the member has been out of service for at least
// `kDepartureGrace`.
bool MayReceivePrimaryWork(const MemberState& member, kernel::Instant now);

struct WriteTarget {
  std::string endpoint;
  // Term that the request must carry.
  model::Term term = 0;

  bool operator==(const WriteTarget&) const = default;
};

// The primary for a write. On an error nothing was sent, so the write can be
// routed again until its deadline.
kernel::Result<WriteTarget, RoutingError> RouteWrite(const GroupView& view,
                                                     kernel::Instant now);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_WRITE_ROUTER_H_
