#include "laburnumkeel/model/endpoint_status.h"

#include <nlohmann/json.hpp>

namespace laburnumkeel::model {

std::string_view ToString(EndpointRole role) {
  return role == EndpointRole::kPrimary ? "primary" : "replica";
}

nlohmann::json ToJson(const EndpointStatus& status) {
  nlohmann::json starts = nlohmann::json::array();
  for (const TermStart& start : status.term_starts) {
    starts.push_back({{"term", start.term}, {"start", start.start}});
  }
  return {{"endpoint", status.endpoint},
          {"group", status.group},
          {"role", ToString(status.role)},
          {"sealed_term", status.sealed_term},
          {"term", status.log_end.term},
          {"position", status.log_end.position},
          {"applied_position", status.applied_position},
          {"staleness_ms", status.staleness_ms},
          {"term_starts", starts}};
}

std::optional<EndpointStatus> EndpointStatusFromJson(
    const nlohmann::json& document) {
  try {
    std::vector<TermStart> starts;
    for (const auto& start : document.at("term_starts")) {
      starts.push_back(TermStart{start.at("term").get<Term>(),
                                 start.at("start").get<std::uint64_t>()});
    }
    return EndpointStatus{
        document.at("endpoint").get<std::string>(),
        document.at("group").get<std::string>(),
        document.at("role").get<std::string>() == "primary"
            ? EndpointRole::kPrimary
            : EndpointRole::kReplica,
        document.at("sealed_term").get<Term>(),
        LogPosition{document.at("term").get<Term>(),
                    document.at("position").get<std::uint64_t>()},
        document.at("applied_position").get<std::uint64_t>(),
        document.at("staleness_ms").get<std::int64_t>(),
        std::move(starts)};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace laburnumkeel::model
