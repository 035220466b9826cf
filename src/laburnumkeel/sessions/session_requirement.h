#ifndef LABURNUMKEEL_SESSIONS_SESSION_REQUIREMENT_H_
#define LABURNUMKEEL_SESSIONS_SESSION_REQUIREMENT_H_

#include <string>

#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/sessions/session.h"

namespace laburnumkeel::sessions {

enum class RequirementKind {
  // Any endpoint can serve the read.
  kNothing,
  // An endpoint whose log and applied state contain the position.
  kPosition,
  // The primary, with a term that a majority confirms after the read. Its log
  // must contain the position as well.
  kConfirmedPrimary,
};

// What a session requires from a read in one group.
struct SessionRequirement {
  RequirementKind kind = RequirementKind::kNothing;
  model::LogPosition position;

  bool operator==(const SessionRequirement&) const = default;
};

// An unsettled group requires a confirmed primary until
// `Session::AfterConfirmedRead()` settles it; it does not settle by time alone.
SessionRequirement RequirementOf(const Session& session,
                                 const std::string& group);

}  // namespace laburnumkeel::sessions

#endif  // LABURNUMKEEL_SESSIONS_SESSION_REQUIREMENT_H_
