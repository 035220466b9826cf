#ifndef LABURNUMKEEL_LIMITS_LIMIT_DECISION_H_
#define LABURNUMKEEL_LIMITS_LIMIT_DECISION_H_

#include <string_view>

namespace laburnumkeel::limits {

enum class LimitReason {
  kWithinShare,
  // The VM's share of the account has no token left.
  kNoTokens,
  // The VM had a share and could not renew it.
  kShareExpired,
  // The VM never had a share of the account.
  kNoShare,
};

std::string_view ToString(LimitReason reason);

// Whether a request may pass.
struct LimitDecision {
  bool is_allowed = false;
  LimitReason reason = LimitReason::kNoShare;

  bool operator==(const LimitDecision&) const = default;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_LIMIT_DECISION_H_
