#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_CONTROL_PEER_HANDLER_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_CONTROL_PEER_HANDLER_H_

#include <string>

#include "laburnumkeel/peer/generated/ControlPeer.h"
#include "programs/laburnumkeel-control/fleet_state.h"

namespace laburnumkeel::control {

// Serves requests of the control programs of other VMs.
class ControlPeerHandler : public peer::generated::ControlPeerIf {
 public:
  explicit ControlPeerHandler(FleetState& state) : state(state) {}

  void exchange(peer::generated::PeerState& result,
                const peer::generated::PeerState& caller) override;
  void signalVersion(std::int64_t version,
                     const std::string& from_address) override;
  void fetchConfiguration(peer::generated::ConfigurationCopy& result,
                          std::int64_t minimum_version) override;

 private:
  FleetState& state;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_CONTROL_PEER_HANDLER_H_
