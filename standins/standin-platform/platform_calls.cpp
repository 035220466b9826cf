#include "standins/standin-platform/platform_calls.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "standins/common/answer_text.h"

namespace laburnumkeel::standins {

namespace {

constexpr std::string_view kRowsPrefix = "/table/rows/";
constexpr std::string_view kObjectsPrefix = "/objects/";

nlohmann::json RowJson(const platform::TableRow& row) {
  return {{"key", row.key},
          {"version", row.version},
          {"value", row.value},
          {"operation_id", row.operation_id}};
}

// Throws nlohmann::json::exception on a missing field or a wrong type.
platform::TableTransaction ParseTransaction(const std::string& text) {
  const auto document = nlohmann::json::parse(text);
  platform::TableTransaction transaction;
  document.at("operation_id").get_to(transaction.operation_id);
  for (const auto& condition : document.at("conditions")) {
    transaction.conditions.push_back(
        platform::RowCondition{condition.at("key").get<std::string>(),
                               condition.at("version").get<std::uint64_t>()});
  }
  for (const auto& write : document.at("writes")) {
    transaction.writes.push_back(
        platform::RowWrite{write.at("key").get<std::string>(),
                           write.at("value").get<std::string>()});
  }
  return transaction;
}

transport::HttpResponse NotFound(const std::string& missing) {
  return JsonResponse(404, {{"error", "no " + missing}});
}

}  // namespace

PlatformCalls::PlatformCalls(std::vector<ListedVm> vms,
                             std::chrono::milliseconds vm_list_lag)
    : vms(std::move(vms), vm_list_lag) {}

transport::HttpResponse PlatformCalls::Execute(
    const transport::HttpRequest& request) {
  const std::string& path = request.target;
  if (request.method == "POST" && path == "/table/transactions") {
    return this->CommitTransaction(request.body);
  }
  if (request.method == "GET" && path.starts_with(kRowsPrefix)) {
    return this->ReadRow(path.substr(kRowsPrefix.size()));
  }
  if (request.method == "GET" && path.starts_with(kObjectsPrefix)) {
    return this->GetObject(path.substr(kObjectsPrefix.size()));
  }
  if (request.method == "PUT" && path.starts_with(kObjectsPrefix)) {
    return this->PutObject(path.substr(kObjectsPrefix.size()), request.body);
  }
  if (request.method == "GET" && path == "/vms") {
    ++this->vm_list_reads;
    return JsonResponse(200, ToJson(this->vms.Visible()));
  }
  return NotFound("such call");
}

nlohmann::json PlatformCalls::Counters() const {
  return {
      {"reads", this->table_reads + this->object_reads + this->vm_list_reads},
      {"writes", this->table_writes + this->object_writes},
      {"table_reads", this->table_reads.load()},
      {"table_writes", this->table_writes.load()},
      {"object_reads", this->object_reads.load()},
      {"object_writes", this->object_writes.load()},
      {"vm_list_reads", this->vm_list_reads.load()}};
}

transport::HttpResponse PlatformCalls::CommitTransaction(
    const std::string& body) {
  try {
    const platform::TableTransaction transaction = ParseTransaction(body);
    ++this->table_writes;
    const auto result = this->table.Commit(transaction);
    nlohmann::json rows = nlohmann::json::array();
    for (const platform::TableRow& row : result.rows) {
      rows.push_back(RowJson(row));
    }
    return JsonResponse(200, {{"committed", result.committed}, {"rows", rows}});
  } catch (const nlohmann::json::exception& error) {
    return JsonResponse(400, {{"error", error.what()}});
  }
}

transport::HttpResponse PlatformCalls::ReadRow(const std::string& key) {
  ++this->table_reads;
  const platform::TableRow row = this->table.Read(key);
  return row.version == 0 ? NotFound("such row")
                          : JsonResponse(200, RowJson(row));
}

transport::HttpResponse PlatformCalls::GetObject(const std::string& name) {
  ++this->object_reads;
  const auto content = this->objects.Get(name);
  if (!content.has_value()) {
    return NotFound("such object");
  }
  return transport::HttpResponse{
      200, {{"Content-Type", "application/octet-stream"}}, *content};
}

transport::HttpResponse PlatformCalls::PutObject(const std::string& name,
                                                 const std::string& content) {
  ++this->object_writes;
  this->objects.Put(name, content);
  return JsonResponse(200, nlohmann::json::object());
}

}  // namespace laburnumkeel::standins
