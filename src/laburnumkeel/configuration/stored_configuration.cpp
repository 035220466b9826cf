#include "laburnumkeel/configuration/stored_configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "laburnumkeel/model/configuration_codec.h"

namespace laburnumkeel::configuration {

namespace {

using nlohmann::json;

// At 1,500 changes a day, about one a minute, a caller stops retrying long
// before 64 further changes.
constexpr std::size_t kMaximumStoredOperations = 64;

}  // namespace

std::optional<std::uint64_t> AcceptedVersion(const StoredConfiguration& stored,
                                             std::string_view operation_id) {
  const auto operation =
      std::find_if(stored.operations.begin(), stored.operations.end(),
                   [&](const AcceptedOperation& candidate) {
                     return candidate.operation_id == operation_id;
                   });
  if (operation == stored.operations.end()) {
    return std::nullopt;
  }
  return operation->version;
}

StoredConfiguration WithOperation(const StoredConfiguration& stored,
                                  model::Configuration configuration,
                                  std::string operation_id) {
  const std::uint64_t version = configuration.version;
  StoredConfiguration result{std::move(configuration), stored.operations};
  result.operations.push_back(
      AcceptedOperation{std::move(operation_id), version});
  if (result.operations.size() > kMaximumStoredOperations) {
    result.operations.erase(result.operations.begin());
  }
  return result;
}

std::string EncodeStored(const StoredConfiguration& stored) {
  json operations = json::array();
  for (const AcceptedOperation& operation : stored.operations) {
    operations.push_back({{"operation_id", operation.operation_id},
                          {"version", operation.version}});
  }
  return json{{"configuration", model::Encode(stored.configuration)},
              {"operations", operations}}
      .dump();
}

std::optional<StoredConfiguration> DecodeStored(std::string_view text) {
  if (text.empty()) {
    return StoredConfiguration{};
  }
  try {
    const json document = json::parse(text);
    auto configuration = model::DecodeConfiguration(
        document.at("configuration").get<std::string>());
    if (!configuration.has_value()) {
      return std::nullopt;
    }
    StoredConfiguration stored{std::move(configuration.value()), {}};
    for (const json& operation : document.at("operations")) {
      stored.operations.push_back(
          AcceptedOperation{operation.at("operation_id").get<std::string>(),
                            operation.at("version").get<std::uint64_t>()});
    }
    return stored;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace laburnumkeel::configuration
