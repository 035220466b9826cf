#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_GOSSIP_SERVICE_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_GOSSIP_SERVICE_H_

#include <random>

#include "laburnumkeel/kernel/periodic_task.h"
#include "laburnumkeel/kernel/service.h"
#include "programs/laburnumkeel-control/membership_log.h"
#include "programs/laburnumkeel-control/peer_caller.h"

namespace laburnumkeel::control {

// Exchanges states with 3 random peers a second, and with each peer once after
// the start.
class GossipService : public kernel::Service {
 public:
  static constexpr char kName[] = "gossip";

  GossipService(FleetState& state, PeerCaller& peers);

  bool Start() override;
  void Stop() override;

 private:
  kernel::Duration Step();

  FleetState& state;
  PeerCaller& peers;
  std::mt19937_64 random{std::random_device{}()};
  MembershipLog log;
  kernel::PeriodicTask task;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_GOSSIP_SERVICE_H_
