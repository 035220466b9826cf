#include "laburnumkeel/platform/table_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace laburnumkeel::platform {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

TableRow RowFromJson(const json& row, std::string key) {
  return TableRow{std::move(key), row.at("version").get<std::uint64_t>(),
                  row.at("value").get<std::string>(),
                  row.at("operation_id").get<std::string>()};
}

std::string EncodeTransaction(const TableTransaction& transaction) {
  json conditions = json::array();
  for (const RowCondition& condition : transaction.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  json writes = json::array();
  for (const RowWrite& write : transaction.writes) {
    writes.push_back({{"key", write.key}, {"value", write.value}});
  }
  return json{{"operation_id", transaction.operation_id},
              {"conditions", conditions},
              {"writes", writes}}
      .dump();
}

std::optional<TableRow> DecodeRow(const std::string& body, std::string key) {
  try {
    return RowFromJson(json::parse(body), std::move(key));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<TransactionResult> DecodeResult(const std::string& body) {
  try {
    const json document = json::parse(body);
    TransactionResult result{document.at("committed").get<bool>(), {}};
    for (const json& row : document.at("rows")) {
      result.rows.push_back(RowFromJson(row, row.at("key").get<std::string>()));
    }
    return result;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

TableClient::TableClient(std::string address, std::string origin,
                         std::chrono::milliseconds timeout)
    : caller(std::move(address), std::move(origin), timeout) {}

kernel::Result<TableRow, PlatformError> TableClient::Read(
    const std::string& key) {
  const auto response =
      this->caller.Call("GET", "/table/rows/" + EncodePath(key), "");
  if (!response.has_value()) {
    return PlatformError{PlatformFailure::kUnavailable,
                         response.error().message};
  }
  if (response.value().status == kNotFound) {
    return TableRow{key, 0, "", ""};
  }
  if (response.value().status != kOk) {
    return UnexpectedStatus(response.value());
  }
  auto row = DecodeRow(response.value().body, key);
  if (!row.has_value()) {
    return PlatformError{PlatformFailure::kInvalidResponse,
                         "the response is not a table row"};
  }
  return std::move(*row);
}

kernel::Result<TransactionResult, PlatformError> TableClient::Commit(
    const TableTransaction& transaction) {
  const auto response = this->caller.Call("POST", "/table/transactions",
                                          EncodeTransaction(transaction));
  if (!response.has_value()) {
    return response.error();
  }
  if (response.value().status != kOk) {
    const PlatformError error = UnexpectedStatus(response.value());
    return error.failure == PlatformFailure::kUnavailable
               ? error
               : PlatformError{PlatformFailure::kUnknown, error.message};
  }
  auto result = DecodeResult(response.value().body);
  if (!result.has_value()) {
    return PlatformError{PlatformFailure::kUnknown,
                         "the response is not a transaction result"};
  }
  return std::move(*result);
}

}  // namespace laburnumkeel::platform
