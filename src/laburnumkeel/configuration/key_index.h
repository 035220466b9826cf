#ifndef LABURNUMKEEL_CONFIGURATION_KEY_INDEX_H_
#define LABURNUMKEEL_CONFIGURATION_KEY_INDEX_H_

#include <memory>
#include <string_view>
#include <unordered_map>

#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// Finds the client account of a presented key. Immutable, so threads can share
// it; build a new one for each configuration version.
class KeyIndex {
 public:
  explicit KeyIndex(std::shared_ptr<const model::Configuration> configuration);

  // The account that the key belongs to, or null. Computes one HMAC of the key
  // whether or not the id exists. The account is valid as long as this index.
  const model::ClientAccount* FindAccount(std::string_view key_text) const;

  const std::shared_ptr<const model::Configuration>& Source() const {
    return this->configuration;
  }

 private:
  struct Entry {
    const model::KeyHash* hash;
    const model::ClientAccount* account;
  };

  std::shared_ptr<const model::Configuration> configuration;
  // The ids are views into `configuration`.
  std::unordered_map<std::string_view, Entry> entries;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_KEY_INDEX_H_
