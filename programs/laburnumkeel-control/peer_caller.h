#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_PEER_CALLER_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_PEER_CALLER_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "laburnumkeel/peer/generated/ControlPeer.h"
#include "laburnumkeel/peer/thrift_client.h"
#include "programs/laburnumkeel-control/fleet_state.h"

namespace laburnumkeel::control {

// Calls the control programs of other VMs. Thread-safe.
class PeerCaller {
 public:
  explicit PeerCaller(FleetState& state) : state(state) {}

  // Exchanges states and records the response. Returns whether there was one.
  bool Exchange(const std::string& address);

  // Signals a version to the peer, without confirmation of its receipt.
  void Signal(const std::string& address, std::uint64_t version,
              const std::string& own_address);

  kernel::Result<peer::generated::ConfigurationCopy, peer::PeerError> Fetch(
      const std::string& address, std::uint64_t minimum_version);

 private:
  using Client = peer::ThriftClient<peer::generated::ControlPeerClient>;

  std::shared_ptr<Client> ClientFor(const std::string& address);

  FleetState& state;
  const kernel::BootClock clock{};
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<Client>> clients;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_PEER_CALLER_H_
