#include "laburnumkeel/promotion/promotion_result.h"

#include <nlohmann/json.hpp>

namespace laburnumkeel::promotion {

std::string PrimaryRowKey(const std::string& group) {
  return "primaries/" + group;
}

std::string EncodePrimary(const PromotionResult& primary) {
  return nlohmann::json{{"term", primary.term},
                        {"endpoint", primary.endpoint},
                        {"promoter", primary.promoter}}
      .dump();
}

std::optional<PromotionResult> DecodePrimary(const std::string& group,
                                             const std::string& value) {
  try {
    const nlohmann::json document = nlohmann::json::parse(value);
    return PromotionResult{group, document.at("term").get<model::Term>(),
                           document.at("endpoint").get<std::string>(),
                           document.at("promoter").get<std::string>()};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace laburnumkeel::promotion
