#include "laburnumkeel/endpoints/bounded_json.h"

namespace laburnumkeel::endpoints {

std::optional<nlohmann::json> ParseBoundedJson(const std::string& text) {
  constexpr int kMaximumDepth = 64;
  bool too_deep = false;
  nlohmann::json document = nlohmann::json::parse(
      text,
      [&too_deep](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        too_deep = too_deep || depth > kMaximumDepth;
        return !too_deep;
      },
      false);
  if (too_deep || document.is_discarded()) {
    return std::nullopt;
  }
  return document;
}

}  // namespace laburnumkeel::endpoints
