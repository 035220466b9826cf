#include "laburnumkeel/limits/limit_decision.h"

namespace laburnumkeel::limits {

std::string_view ToString(LimitReason reason) {
  switch (reason) {
    case LimitReason::kWithinShare:
      return "within_share";
    case LimitReason::kNoTokens:
      return "no_tokens";
    case LimitReason::kShareExpired:
      return "share_expired";
    case LimitReason::kNoShare:
      return "no_share";
  }
  return "no_share";
}

}  // namespace laburnumkeel::limits
