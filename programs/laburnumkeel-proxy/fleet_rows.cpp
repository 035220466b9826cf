#include "programs/laburnumkeel-proxy/fleet_rows.h"

#include <nlohmann/json.hpp>

namespace laburnumkeel::proxy {

namespace {

using nlohmann::json;

json EncodeDelegateVms(
    const std::map<std::string, membership::DelegateVm>& vms) {
  json encoded = json::object();
  for (const auto& [name, vm] : vms) {
    encoded[name] = {vm.address, vm.data_centre};
  }
  return encoded;
}

std::map<std::string, membership::DelegateVm> DecodeDelegateVms(
    const json& encoded) {
  std::map<std::string, membership::DelegateVm> vms;
  for (const auto& [name, vm] : encoded.items()) {
    vms[name] = {vm.at(0).get<std::string>(), vm.at(1).get<std::string>()};
  }
  return vms;
}

json EncodeDelegates(const membership::DelegateRing& ring) {
  return {{"revision", ring.revision},
          {"settled", ring.is_settled},
          {"members", EncodeDelegateVms(ring.members)},
          {"joining", EncodeDelegateVms(ring.joining)},
          {"retired", ring.retired}};
}

membership::DelegateRing DecodeDelegates(const json& document) {
  const auto found = document.find("delegates");
  if (found == document.end()) {
    // An earlier program wrote the record, and may have dropped a ring.
    return membership::DelegateRing::Unsettled();
  }
  return {found->at("revision").get<std::uint64_t>(),
          found->at("settled").get<bool>(),
          DecodeDelegateVms(found->at("members")),
          DecodeDelegateVms(found->at("joining")),
          found->at("retired").get<std::set<std::string>>()};
}

}  // namespace

std::string EncodeLeader(const promotion::LeaderRecord& record) {
  return json({{"holder", record.holder},
               {"address", record.address},
               {"token", record.token},
               {"renewed_at_ms", record.renewed_at_ms},
               {"store_era", record.store_era},
               {"silent_vms", record.inactive_vms},
               {"kept_operations", record.withheld_operations},
               {"delegates", EncodeDelegates(record.delegates)}})
      .dump();
}

std::optional<promotion::LeaderRecord> DecodeLeader(std::string_view value) {
  try {
    const json document = json::parse(value);
    return promotion::LeaderRecord{
        document.at("holder").get<std::string>(),
        document.at("address").get<std::string>(),
        document.at("token").get<std::uint64_t>(),
        document.value("renewed_at_ms", std::int64_t{0}),
        document.value("silent_vms", std::set<std::string>()),
        document.value("kept_operations",
                       std::map<std::string, std::int64_t>()),
        document.value("store_era", std::uint64_t{0}),
        DecodeDelegates(document)};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodePrimary(const routing::PrimaryRecord& record) {
  return json({{"endpoint", record.endpoint_id},
               {"term", record.term},
               {"changing", record.is_changing},
               {"store_era", record.store_era},
               {"lost", record.is_lost},
               {"committed_term", record.committed.term},
               {"committed_position", record.committed.position}})
      .dump();
}

std::optional<routing::PrimaryRecord> DecodePrimary(std::string_view service,
                                                    std::uint64_t version,
                                                    std::string_view value) {
  try {
    const json document = json::parse(value);
    return routing::PrimaryRecord{
        std::string(service),
        document.at("endpoint").get<std::string>(),
        document.at("term").get<model::Term>(),
        document.at("changing").get<bool>(),
        version,
        document.value("store_era", std::uint64_t{0}),
        document.value("lost", false),
        {document.value("committed_term", model::Term{0}),
         document.value("committed_position", std::uint64_t{0})}};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeMembers(const std::vector<model::DatabaseEndpoint>& members) {
  json document = json::array();
  for (const model::DatabaseEndpoint& member : members) {
    document.push_back({member.id, member.address, member.data_centre});
  }
  return document.dump();
}

std::optional<std::vector<model::DatabaseEndpoint>> DecodeMembers(
    std::string_view service, std::string_view value) {
  try {
    std::vector<model::DatabaseEndpoint> members;
    for (const json& fields : json::parse(value)) {
      model::DatabaseEndpoint member;
      member.id = fields.at(0).get<std::string>();
      member.service = service;
      member.address = fields.at(1).get<std::string>();
      member.data_centre = fields.at(2).get<std::string>();
      members.push_back(std::move(member));
    }
    return members;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeVm(const VmRow& row) {
  return json({{"address", row.address},
               {"processor_share", row.processor_share},
               {"data_centre", row.data_centre}})
      .dump();
}

std::optional<VmRow> DecodeVm(std::string_view value) {
  try {
    const json document = json::parse(value);
    return VmRow{document.at("address").get<std::string>(),
                 document.value("processor_share", 0.0),
                 document.value("data_centre", std::string())};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace laburnumkeel::proxy
