#include "laburnumkeel/routing/member_state.h"

#include <tuple>

namespace laburnumkeel::routing {

namespace {

auto Progress(const model::EndpointStatus& status) {
  return std::make_tuple(status.log_end, status.applied_position);
}

}  // namespace

kernel::Duration Staleness(const MemberState& member, kernel::Instant now) {
  if (!member.measurement) {
    return kernel::Duration::max();
  }
  return std::chrono::milliseconds(member.measurement->status.staleness_ms) +
         (now - member.measurement->sent);
}

bool IsNewer(const MeasuredStatus& candidate, const MeasuredStatus& known) {
  if (candidate.status.sealed_term != known.status.sealed_term) {
    return candidate.status.sealed_term > known.status.sealed_term;
  }
  if (candidate.sent >= known.received) {
    return true;
  }
  if (candidate.received <= known.sent) {
    return false;
  }
  if (Progress(candidate.status) != Progress(known.status)) {
    return Progress(candidate.status) > Progress(known.status);
  }
  return candidate.sent > known.sent;
}

}  // namespace laburnumkeel::routing
