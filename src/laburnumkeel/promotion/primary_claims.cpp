#include "laburnumkeel/promotion/primary_claims.h"

#include <algorithm>

namespace laburnumkeel::promotion {

std::optional<ChangeMember> FindPrimary(const PrimaryClaims& claims) {
  const auto newest = std::max_element(
      claims.members.begin(), claims.members.end(),
      [](const ChangeMember& left, const ChangeMember& right) {
        return left.is_primary != right.is_primary ? right.is_primary
                                                   : left.term < right.term;
      });
  if (newest == claims.members.end() || !newest->is_primary ||
      newest->term < claims.known_term || newest->received < claims.committed) {
    return std::nullopt;
  }
  const bool is_newest = std::all_of(
      claims.members.begin(), claims.members.end(),
      [&](const ChangeMember& member) { return member.term <= newest->term; });
  return is_newest ? std::optional(*newest) : std::nullopt;
}

}  // namespace laburnumkeel::promotion
