#include "tests/system/fleet_fixture.h"

#include <fstream>
#include <sstream>

namespace laburnumkeel::testing {

std::string FleetFixture::Logs() const {
  std::ostringstream text;
  for (const auto& entry : std::filesystem::directory_iterator(this->logs)) {
    text << std::ifstream(entry.path()).rdbuf();
  }
  return text.str();
}

}  // namespace laburnumkeel::testing
