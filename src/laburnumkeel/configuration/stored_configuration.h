#ifndef LABURNUMKEEL_CONFIGURATION_STORED_CONFIGURATION_H_
#define LABURNUMKEEL_CONFIGURATION_STORED_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// The operation that produced a version.
struct AcceptedOperation {
  std::string operation_id;
  std::uint64_t version = 0;

  bool operator==(const AcceptedOperation&) const = default;
};

// Value of the table row `configuration/current`. The row itself has only the
// newest operation id, so the value contains the latest ones: a repeated
// proposal is still recognised as accepted after other changes followed it.
struct StoredConfiguration {
  model::Configuration configuration;
  // Oldest first.
  std::vector<AcceptedOperation> operations;

  bool operator==(const StoredConfiguration&) const = default;
};

// The version that the operation produced, if it is among those stored.
std::optional<std::uint64_t> AcceptedVersion(const StoredConfiguration& stored,
                                             std::string_view operation_id);

// The value to store when the operation replaces the configuration with
// `configuration`. Keeps the latest 64 operations.
StoredConfiguration WithOperation(const StoredConfiguration& stored,
                                  model::Configuration configuration,
                                  std::string operation_id);

std::string EncodeStored(const StoredConfiguration& stored);

// Empty if the text is not a stored configuration. An empty text, the value of
// a row that does not exist, gives the empty configuration.
std::optional<StoredConfiguration> DecodeStored(std::string_view text);

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_STORED_CONFIGURATION_H_
