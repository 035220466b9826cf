#include "standins/standin-endpoint/refusal.h"

namespace laburnumkeel::standins {

std::string_view ToString(Refusal refusal) {
  switch (refusal) {
    case Refusal::kStaleTerm:
      return "stale_term";
    case Refusal::kNotPrimary:
      return "not_primary";
    case Refusal::kNoSlot:
      return "no_slot";
    case Refusal::kDraining:
      return "draining";
    case Refusal::kBadStatement:
      return "bad_statement";
    case Refusal::kConflict:
      break;
  }
  return "conflict";
}

}  // namespace laburnumkeel::standins
