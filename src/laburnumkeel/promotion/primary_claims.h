#ifndef LABURNUMKEEL_PROMOTION_PRIMARY_CLAIMS_H_
#define LABURNUMKEEL_PROMOTION_PRIMARY_CLAIMS_H_

#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/promotion/change_plan.h"

namespace laburnumkeel::promotion {

// The replies of a service's endpoints after at least one of them registered as
// the primary. A registration is as old as its writer's last contact with the
// store, and a former primary out of reach of its successor goes on claiming to
// be the primary, so a claim counts only with a reply.
struct PrimaryClaims {
  // The endpoints that replied.
  std::vector<ChangeMember> members;
  // The highest term known from elsewhere, such as the published one.
  model::Term known_term = 0;
  // Commits up to here may have been acknowledged, by what was known before the
  // endpoints that claim to be the primary were asked: a primary that runs goes
  // on meanwhile.
  model::LogPosition committed{};

  bool operator==(const PrimaryClaims&) const = default;
};

// Returns the endpoint that is the primary in the highest known term and has
// all known commits; empty without one. A term has one primary, so an endpoint
// that claims the published term under another id has restarted.
std::optional<ChangeMember> FindPrimary(const PrimaryClaims& claims);

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_PRIMARY_CLAIMS_H_
