#ifndef LABURNUMKEEL_CONFIGURATION_KEY_HASH_H_
#define LABURNUMKEEL_CONFIGURATION_KEY_HASH_H_

#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// A new key: the text for the caller, which is stored nowhere, and the hash
// for the configuration.
struct GeneratedKey {
  std::string text;
  model::KeyHash hash;

  bool operator==(const GeneratedKey&) const = default;
};

// A key `<id>.<secret>` with 64 random bits of id and 256 of secret.
GeneratedKey GenerateKey();

// The id of a key text; empty when the text has no id and secret.
std::optional<std::string_view> KeyId(std::string_view key_text);

// Hashes a key text under a random salt. `key_text` has the form
// `<id>.<secret>`.
model::KeyHash HashKey(std::string_view key_text);

// Compares in a time that does not depend on where the digests differ. The
// digest is HMAC-SHA-256 of the whole key text under the salt's digits. A key
// has 256 random bits, so that a slow password hash would add no protection.
bool MatchesKey(const model::KeyHash& hash, std::string_view key_text);

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_KEY_HASH_H_
