#ifndef LABURNUMKEEL_ENDPOINTS_BOUNDED_JSON_H_
#define LABURNUMKEEL_ENDPOINTS_BOUNDED_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace laburnumkeel::endpoints {

// Parses a JSON document nested at most 64 levels deep; empty for any other
// text. nlohmann-json serializes documents recursively, so a deeper one could
// overflow the stack of a request thread.
std::optional<nlohmann::json> ParseBoundedJson(const std::string& text);

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_BOUNDED_JSON_H_
