#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_CONFIGURATION_SERVICE_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_CONFIGURATION_SERVICE_H_

#include <mutex>
#include <string>

#include "laburnumkeel/configuration/configuration_store.h"
#include "laburnumkeel/kernel/periodic_task.h"
#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/platform/shared_table.h"
#include "laburnumkeel/platform/vm_list_client.h"
#include "programs/laburnumkeel-control/peer_caller.h"

namespace laburnumkeel::control {

// Keeps the configuration of this VM up to date and accepts changes.
class ConfigurationService : public kernel::Service {
 public:
  static constexpr char kName[] = "configuration";

  ConfigurationService(const ControlSettings& settings, FleetState& state,
                       PeerCaller& peers, platform::SharedTable table);

  bool Start() override;
  void Stop() override;

  // Proposes a change, signals it to the peers and waits until VMs in a
  // majority of data centres hold it. See `SubmitResult` of the peer interface.
  peer::generated::SubmitResult Submit(const std::string& document,
                                       std::uint64_t base_version,
                                       const std::string& operation_id);

 private:
  kernel::Duration Step();
  bool IsPollDue(kernel::Instant now);
  void ReadStore();
  void ReadVmList();
  void Fetch(const configuration::FetchPlan& plan);
  // Signals the current version to random peers, each of which does the same.
  void SignalPeers();
  bool Distribute(const model::Configuration& accepted,
                  const std::vector<model::DataCentre>& data_centres_before);

  const ControlSettings settings;
  FleetState& state;
  PeerCaller& peers;
  const kernel::BootClock clock{};
  platform::SharedTable table;
  configuration::ConfigurationStore<platform::SharedTable> store;
  platform::VmListClient vm_list;
  std::uint64_t signalled_version = 0;
  kernel::Instant last_vm_list;
  bool has_vm_list = false;
  kernel::Instant last_poll;
  kernel::Instant last_startup_read;
  kernel::PeriodicTask task;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_CONFIGURATION_SERVICE_H_
