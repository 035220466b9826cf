#ifndef LABURNUMKEEL_PROMOTION_PROMOTION_RESULT_H_
#define LABURNUMKEEL_PROMOTION_PROMOTION_RESULT_H_

#include <optional>
#include <string>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::promotion {

// A promoted primary, as stored in the table row `primaries/<group>`.
struct PromotionResult {
  std::string group;
  model::Term term = 0;
  std::string endpoint;
  std::string promoter;

  bool operator==(const PromotionResult&) const = default;
};

// Key of the table row of a group.
std::string PrimaryRowKey(const std::string& group);

// The JSON value of the row.
std::string EncodePrimary(const PromotionResult& primary);

// Empty when the value is not a valid row document.
std::optional<PromotionResult> DecodePrimary(const std::string& group,
                                             const std::string& value);

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_PROMOTION_RESULT_H_
