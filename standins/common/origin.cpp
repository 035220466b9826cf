#include "standins/common/origin.h"

namespace laburnumkeel::standins {

Origin ParseOrigin(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) {
    return Origin{std::string(text), ""};
  }
  return Origin{std::string(text.substr(0, slash)),
                std::string(text.substr(slash + 1))};
}

}  // namespace laburnumkeel::standins
