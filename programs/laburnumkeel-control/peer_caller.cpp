#include "programs/laburnumkeel-control/peer_caller.h"

namespace laburnumkeel::control {

namespace {

// Two round trips between regions and some scheduling delay.
constexpr std::chrono::milliseconds kCallTimeout{500};

}  // namespace

bool PeerCaller::Exchange(const std::string& address) {
  const kernel::Instant sent = this->clock.Now();
  const auto response = this->ClientFor(address)->Run(
      [own = this->state.OwnState()](
          peer::generated::ControlPeerClient& control) {
        peer::generated::PeerState result;
        control.exchange(result, own);
        return result;
      });
  if (!response.has_value()) {
    return false;
  }
  this->state.OnPeerResponse(response.value(), sent);
  return true;
}

void PeerCaller::Signal(const std::string& address, std::uint64_t version,
                        const std::string& own_address) {
  // After a lost signal the next exchange of states transfers the version.
  (void)this->ClientFor(address)->Run(
      [&](peer::generated::ControlPeerClient& control) {
        control.signalVersion(static_cast<std::int64_t>(version), own_address);
        return true;
      });
}

kernel::Result<peer::generated::ConfigurationCopy, peer::PeerError>
PeerCaller::Fetch(const std::string& address, std::uint64_t minimum_version) {
  return this->ClientFor(address)->Run(
      [&](peer::generated::ControlPeerClient& control) {
        peer::generated::ConfigurationCopy copy;
        control.fetchConfiguration(copy,
                                   static_cast<std::int64_t>(minimum_version));
        return copy;
      });
}

std::shared_ptr<PeerCaller::Client> PeerCaller::ClientFor(
    const std::string& address) {
  const std::lock_guard lock(this->mutex);
  std::shared_ptr<Client>& client = this->clients[address];
  if (client == nullptr) {
    client = std::make_shared<Client>(address, kCallTimeout);
  }
  return client;
}

}  // namespace laburnumkeel::control
