#include "programs/laburnumkeel-control/control_peer_handler.h"

#include "laburnumkeel/model/configuration_codec.h"

namespace laburnumkeel::control {

void ControlPeerHandler::exchange(peer::generated::PeerState& result,
                                  const peer::generated::PeerState& caller) {
  this->state.OnPeerExchange(caller);
  result = this->state.OwnState();
}

void ControlPeerHandler::signalVersion(std::int64_t version,
                                       const std::string& from_address) {
  this->state.OnVersionHint(version, from_address);
}

void ControlPeerHandler::fetchConfiguration(
    peer::generated::ConfigurationCopy& result,
    std::int64_t /*minimum_version*/) {
  const auto configuration = this->state.Configuration();
  result.version = static_cast<std::int64_t>(configuration->version);
  result.proof_age_ms = -1;
  result.document = model::Encode(*configuration);
}

}  // namespace laburnumkeel::control
