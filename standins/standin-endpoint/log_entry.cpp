#include "standins/standin-endpoint/log_entry.h"

#include <nlohmann/json.hpp>

namespace laburnumkeel::standins {

nlohmann::json ToJson(const LogEntry& entry) {
  nlohmann::json writes = nlohmann::json::array();
  for (const KeyWrite& write : entry.writes) {
    writes.push_back({{"key", write.key}, {"value", write.value}});
  }
  return {{"term", entry.term},
          {"writes", writes},
          {"idempotency_id", entry.idempotency_id},
          {"result", entry.result}};
}

LogEntry LogEntryFromJson(const nlohmann::json& document) {
  std::vector<KeyWrite> writes;
  for (const auto& write : document.at("writes")) {
    writes.push_back(KeyWrite{write.at("key").get<std::string>(),
                              write.at("value").get<std::string>()});
  }
  return LogEntry{document.at("term").get<model::Term>(), std::move(writes),
                  document.at("idempotency_id").get<std::string>(),
                  document.at("result").get<std::string>()};
}

}  // namespace laburnumkeel::standins
