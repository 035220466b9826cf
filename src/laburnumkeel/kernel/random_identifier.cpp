#include "laburnumkeel/kernel/random_identifier.h"

#include <sys/random.h>

#include <array>
#include <cstddef>

namespace laburnumkeel::kernel {

std::string RandomIdentifier() {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, 16> bytes{};
  std::size_t filled = 0;
  while (filled < bytes.size()) {
    const ssize_t count =
        getrandom(bytes.data() + filled, bytes.size() - filled, 0);
    if (count > 0) {
      filled += static_cast<std::size_t>(count);
    }
  }
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xfU];
  }
  return text;
}

}  // namespace laburnumkeel::kernel
