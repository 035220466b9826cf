#include "laburnumkeel/configuration/key_index.h"

#include <utility>

#include "laburnumkeel/configuration/key_hash.h"

namespace laburnumkeel::configuration {

namespace {

// Longer texts are refused without hashing; `GenerateKey` produces 81
// characters.
constexpr std::size_t kMaximumKeyLength = 256;

// Hash to compare with when the id is unknown, so that the response time does
// not reveal which ids exist. No key has this digest.
const model::KeyHash& UnknownKeyHash() {
  static const model::KeyHash hash{"", std::string(32, '0'),
                                   std::string(64, '0')};
  return hash;
}

}  // namespace

KeyIndex::KeyIndex(std::shared_ptr<const model::Configuration> configuration)
    : configuration(std::move(configuration)) {
  for (const model::ClientAccount& account :
       this->configuration->client_accounts) {
    for (const model::KeyHash& key : account.keys) {
      this->entries.emplace(key.id, Entry{&key, &account});
    }
  }
}

const model::ClientAccount* KeyIndex::FindAccount(
    std::string_view key_text) const {
  const auto id = KeyId(key_text);
  if (!id.has_value() || key_text.size() > kMaximumKeyLength) {
    return nullptr;
  }
  const auto entry = this->entries.find(*id);
  const bool known = entry != this->entries.end();
  const bool matches =
      MatchesKey(known ? *entry->second.hash : UnknownKeyHash(), key_text);
  return known && matches ? entry->second.account : nullptr;
}

}  // namespace laburnumkeel::configuration
