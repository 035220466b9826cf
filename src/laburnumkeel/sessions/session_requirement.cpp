#include "laburnumkeel/sessions/session_requirement.h"

namespace laburnumkeel::sessions {

SessionRequirement RequirementOf(const Session& session,
                                 const std::string& group) {
  const GroupState state = session.StateOf(group);
  if (state.unsettled_until_ms.has_value()) {
    return SessionRequirement{RequirementKind::kConfirmedPrimary,
                              state.position};
  }
  if (state.position.position == 0) {
    return SessionRequirement{};
  }
  return SessionRequirement{RequirementKind::kPosition, state.position};
}

}  // namespace laburnumkeel::sessions
