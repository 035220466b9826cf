#include "programs/laburnumkeel-control/gossip_service.h"

#include <vector>

namespace laburnumkeel::control {

namespace {

constexpr std::chrono::milliseconds kInterval{333};
constexpr std::chrono::milliseconds kStartInterval{20};

}  // namespace

GossipService::GossipService(FleetState& state, PeerCaller& peers)
    : state(state), peers(peers), task([this] { return this->Step(); }) {}

bool GossipService::Start() {
  this->task.Start();
  return true;
}

void GossipService::Stop() { this->task.Stop(); }

kernel::Duration GossipService::Step() {
  this->log.Update(this->state.LiveVms(), this->state.HasMajorityContact());
  const std::vector<membership::VmRecord> callable = this->state.Peers();
  if (callable.empty()) {
    return kInterval;
  }
  const membership::VmRecord& vm = callable[this->random() % callable.size()];
  this->peers.Exchange(vm.control_address);
  return this->state.IsReady() ? kInterval : kStartInterval;
}

}  // namespace laburnumkeel::control
