#include "laburnumkeel/promotion/promotion_error.h"

namespace laburnumkeel::promotion {

std::string_view ToString(PromotionFailure failure) {
  switch (failure) {
    case PromotionFailure::kNoResponse:
      return "no_response";
    case PromotionFailure::kNoMajority:
      return "no_majority";
    case PromotionFailure::kLostRace:
      return "lost_race";
    case PromotionFailure::kUnconfirmed:
      return "unconfirmed";
    case PromotionFailure::kNotPublished:
      return "not_published";
  }
  return "no_response";
}

}  // namespace laburnumkeel::promotion
