#ifndef LABURNUMKEEL_PROMOTION_PROMOTION_ERROR_H_
#define LABURNUMKEEL_PROMOTION_PROMOTION_ERROR_H_

#include <string>
#include <string_view>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::promotion {

enum class PromotionFailure {
  // A call to an endpoint got no usable response; it may have taken effect.
  kNoResponse,
  // Fewer than a majority of the members could be sealed.
  kNoMajority,
  // Another promoter has sealed the term or a higher one.
  kLostRace,
  // The endpoint did not confirm its promotion.
  kUnconfirmed,
  // The primary table could not be written.
  kNotPublished,
};

std::string_view ToString(PromotionFailure failure);

struct PromotionError {
  PromotionFailure failure = PromotionFailure::kNoResponse;
  std::string message;
  // Highest term observed during the attempt; the next one has to exceed it.
  model::Term highest_term = 0;

  bool operator==(const PromotionError&) const = default;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_PROMOTION_ERROR_H_
