#ifndef LABURNUMKEEL_STANDINS_COMMON_NAMED_VALUES_H_
#define LABURNUMKEEL_STANDINS_COMMON_NAMED_VALUES_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumkeel::standins {

// Reads `name=value,name=value`. Empty result when a part has no name or no
// equals sign, or when a name occurs twice; an empty text has no parts.
std::optional<std::vector<std::pair<std::string, std::string>>>
ParseNamedValues(std::string_view text);

// Reads the same kind of list; empty result also when a value is not an address
// `IP:port`.
std::optional<std::vector<std::pair<std::string, std::string>>>
ParseNamedAddresses(std::string_view text);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_NAMED_VALUES_H_
