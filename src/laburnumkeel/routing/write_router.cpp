#include "laburnumkeel/routing/write_router.h"

namespace laburnumkeel::routing {

bool MayReceivePrimaryWork(const MemberState& member, kernel::Instant now) {
  return !member.out_since || now - *member.out_since < kDepartureGrace;
}

kernel::Result<WriteTarget, RoutingError> RouteWrite(const GroupView& view,
                                                     kernel::Instant now) {
  const MemberState* primary = view.Primary();
  if (primary == nullptr) {
    return RoutingError{RoutingFailure::kNoPrimary,
                        "no primary of group " + view.Name() + " is known"};
  }
  // A write of a lower term would not be acknowledged.
  if (!view.IsPrimaryCurrent()) {
    return RoutingError{RoutingFailure::kTermSuperseded,
                        "group " + view.Name() + " has seen term " +
                            std::to_string(view.HighestTerm()) +
                            ", its primary has term " +
                            std::to_string(view.PrimaryTerm())};
  }
  if (!MayReceivePrimaryWork(*primary, now)) {
    return RoutingError{RoutingFailure::kNoPrimary,
                        "primary " + primary->endpoint + " is out of service"};
  }
  return WriteTarget{primary->endpoint, view.PrimaryTerm()};
}

}  // namespace laburnumkeel::routing
