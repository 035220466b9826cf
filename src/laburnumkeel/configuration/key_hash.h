#ifndef LABURNUMKEEL_CONFIGURATION_KEY_HASH_H_
#define LABURNUMKEEL_CONFIGURATION_KEY_HASH_H_

#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// A new key: the plain text, which is given to the caller and never stored, and
// the hash for the configuration.
struct GeneratedKey {
  std::string text;
  model::KeyHash hash;

  bool operator==(const GeneratedKey&) const = default;
};

// Generates a key `<id>.<secret>` with 64 random bits of id and 256 of secret.
GeneratedKey GenerateKey();

// The id of a key text; empty unless the text has both an id and a secret.
std::optional<std::string_view> KeyId(std::string_view key_text);

// Hashes a key text with a random salt. `key_text` has the form
// `<id>.<secret>`.
model::KeyHash HashKey(std::string_view key_text);

// Compares in constant time, wherever the digests differ. The digest is the
// HMAC-SHA-256 of the whole key text, keyed with the digits of the salt. A
// secret has 256 random bits, so a slow password hash would add no protection.
bool MatchesKey(const model::KeyHash& hash, std::string_view key_text);

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_KEY_HASH_H_
