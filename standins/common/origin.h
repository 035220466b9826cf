#ifndef LABURNUMKEEL_STANDINS_COMMON_ORIGIN_H_
#define LABURNUMKEEL_STANDINS_COMMON_ORIGIN_H_

#include <string>
#include <string_view>

namespace laburnumkeel::standins {

inline constexpr std::string_view kOriginHeader = "Laburnumkeel-Origin";

// Sender of a request, from the header `Laburnumkeel-Origin`.
struct Origin {
  // Name of the VM or endpoint.
  std::string name;
  std::string data_centre;

  bool operator==(const Origin&) const = default;
};

// Reads `<name>/<data centre>`; a missing part is empty.
Origin ParseOrigin(std::string_view text);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_ORIGIN_H_
