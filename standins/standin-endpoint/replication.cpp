#include "standins/standin-endpoint/replication.h"

#include <nlohmann/json.hpp>

namespace laburnumkeel::standins {

nlohmann::json ToJson(const Replication& replication) {
  nlohmann::json entries = nlohmann::json::array();
  for (const LogEntry& entry : replication.entries) {
    entries.push_back(ToJson(entry));
  }
  return {{"term", replication.term},
          {"previous_term", replication.previous.term},
          {"previous_position", replication.previous.position},
          {"entries", entries},
          {"primary_end", replication.primary_end}};
}

Replication ReplicationFromJson(const nlohmann::json& document) {
  std::vector<LogEntry> entries;
  for (const auto& entry : document.at("entries")) {
    entries.push_back(LogEntryFromJson(entry));
  }
  return Replication{
      document.at("term").get<model::Term>(),
      model::LogPosition{document.at("previous_term").get<model::Term>(),
                         document.at("previous_position").get<std::uint64_t>()},
      std::move(entries), document.at("primary_end").get<std::uint64_t>()};
}

}  // namespace laburnumkeel::standins
