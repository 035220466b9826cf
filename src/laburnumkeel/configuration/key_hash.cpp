#include "laburnumkeel/configuration/key_hash.h"

#include "laburnumkeel/kernel/digest.h"
#include "laburnumkeel/kernel/random_identifier.h"

namespace laburnumkeel::configuration {

namespace {

constexpr std::size_t kIdDigits = 16;

std::string Digest(std::string_view salt, std::string_view key_text) {
  return kernel::ToHexadecimal(kernel::HmacSha256(salt, key_text));
}

}  // namespace

GeneratedKey GenerateKey() {
  const std::string text = kernel::RandomIdentifier().substr(0, kIdDigits) +
                           "." + kernel::RandomIdentifier() +
                           kernel::RandomIdentifier();
  return GeneratedKey{text, HashKey(text)};
}

std::optional<std::string_view> KeyId(std::string_view key_text) {
  const std::size_t dot = key_text.find('.');
  if (dot == std::string_view::npos || dot == 0 || dot + 1 == key_text.size()) {
    return std::nullopt;
  }
  return key_text.substr(0, dot);
}

model::KeyHash HashKey(std::string_view key_text) {
  const std::string salt = kernel::RandomIdentifier();
  return model::KeyHash{std::string(KeyId(key_text).value_or("")), salt,
                        Digest(salt, key_text)};
}

bool MatchesKey(const model::KeyHash& hash, std::string_view key_text) {
  return kernel::ConstantTimeEqual(Digest(hash.salt, key_text), hash.digest);
}

}  // namespace laburnumkeel::configuration
