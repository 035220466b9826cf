#include "standins/standin-endpoint/replicator.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace laburnumkeel::standins {

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval{50};
constexpr std::chrono::milliseconds kReplicationTimeout{1000};

}  // namespace

Replicator::Replicator(Database& database, Origin member,
                       const std::string& address, std::string origin,
                       std::function<bool(const Origin&)> may_send)
    : database(database),
      member(std::move(member)),
      client(address, transport::ConnectionLimits{}),
      origin(std::move(origin)),
      may_send(std::move(may_send)) {}

Replicator::~Replicator() { this->Stop(); }

void Replicator::Start() {
  this->thread = std::thread([this] { this->Loop(); });
}

void Replicator::Stop() {
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void Replicator::Loop() {
  while (!this->stopping) {
    const auto replication = this->database.EntriesAfter(this->member_position);
    if (!replication.has_value() || !this->may_send(this->member) ||
        !this->Send(*replication)) {
      std::this_thread::sleep_for(kHeartbeatInterval);
      continue;
    }
    this->database.WaitForEntries(this->member_position, kHeartbeatInterval);
  }
}

bool Replicator::Send(const Replication& replication) {
  const auto response = this->client.Send(
      transport::HttpRequest{"POST",
                             "/v1/replicate",
                             {{std::string(kOriginHeader), this->origin}},
                             ToJson(replication).dump(),
                             {}},
      kReplicationTimeout);
  if (!response.has_value()) {
    return false;
  }
  this->member.data_centre =
      ParseOrigin(response.value().Header(std::string(kOriginHeader)))
          .data_centre;
  const auto document =
      nlohmann::json::parse(response.value().body, nullptr, false);
  const auto status = document.is_object()
                          ? model::EndpointStatusFromJson(document)
                          : std::nullopt;
  if (!status.has_value()) {
    return false;
  }
  if (document.value("accepted", false)) {
    this->member_position =
        replication.previous.position + replication.entries.size();
    return true;
  }
  if (status->sealed_term > replication.term) {
    // The member follows a later term; this primary is a former one.
    return false;
  }
  // The logs differ at `previous`: the last common entry is before it.
  const std::uint64_t before = replication.previous.position == 0
                                   ? 0
                                   : replication.previous.position - 1;
  this->member_position = std::min(before, status->log_end.position);
  return true;
}

}  // namespace laburnumkeel::standins
