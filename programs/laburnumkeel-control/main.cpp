#include <glog/logging.h>

#include <memory>

#include "laburnumkeel/kernel/events.h"
#include "laburnumkeel/kernel/kernel.h"
#include "laburnumkeel/kernel/shutdown_signal.h"
#include "laburnumkeel/platform/table_client.h"
#include "programs/laburnumkeel-control/configuration_service.h"
#include "programs/laburnumkeel-control/control_peer_handler.h"
#include "programs/laburnumkeel-control/gossip_service.h"
#include "programs/laburnumkeel-control/local_control_handler.h"
#include "programs/laburnumkeel-control/promotion_service.h"
#include "programs/laburnumkeel-control/share_service.h"
#include "programs/laburnumkeel-control/thrift_service.h"

namespace {

using namespace laburnumkeel;  // NOLINT(google-build-using-namespace)

peer::ThriftServerLimits LimitsOf(const control::ControlSettings& settings) {
  peer::ThriftServerLimits limits;
  limits.maximum_connections = settings.peer_maximum_connections;
  limits.receive_timeout =
      std::chrono::milliseconds(settings.peer_receive_timeout_ms);
  return limits;
}

// Registers the services in the order in which they start. The servers for
// other programs stop after the services that still need responses from them.
void RegisterServices(kernel::Kernel& kernel,
                      const control::ControlSettings& settings,
                      control::FleetState& state, control::PeerCaller& peers,
                      control::ShareExchange& share_exchange,
                      const platform::SharedTable& table) {
  auto& configuration =
      kernel.Register(control::ConfigurationService::kName,
                      std::make_unique<control::ConfigurationService>(
                          settings, state, peers, table));
  kernel.Register(control::ThriftService::kPeerName,
                  std::make_unique<control::ThriftService>(
                      settings.peer_listen,
                      std::make_shared<peer::generated::ControlPeerProcessor>(
                          std::make_shared<control::ControlPeerHandler>(state)),
                      LimitsOf(settings)));
  kernel.Register(control::GossipService::kName,
                  std::make_unique<control::GossipService>(state, peers));
  kernel.Register(control::ThriftService::kLocalName,
                  std::make_unique<control::ThriftService>(
                      settings.local_listen,
                      std::make_shared<peer::generated::LocalControlProcessor>(
                          std::make_shared<control::LocalControlHandler>(
                              state, configuration, share_exchange)),
                      LimitsOf(settings)));
  kernel.Register(control::ShareService::kName,
                  std::make_unique<control::ShareService>(
                      settings, state, share_exchange, table));
  kernel.Register(
      control::PromotionService::kName,
      std::make_unique<control::PromotionService>(settings, state, table));
}

}  // namespace

int main(int argument_count, char** arguments) {
  control::ControlSettings settings;
  if (const auto exit_code =
          control::ParseSettings(argument_count, arguments, settings)) {
    return *exit_code;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(arguments[0]);
  const kernel::ShutdownSignal signal;
  control::FleetState state(settings);
  control::PeerCaller peers(state);
  control::ShareExchange share_exchange(state.Incarnation());
  const platform::SharedTable table(std::make_shared<platform::TableClient>(
      settings.platform, settings.vm + "/" + settings.data_centre,
      std::chrono::milliseconds(settings.platform_timeout_ms)));
  kernel::Kernel kernel;
  RegisterServices(kernel, settings, state, peers, share_exchange, table);
  if (!kernel.Start()) {
    return 1;
  }
  kernel::LogEvent(kernel::kProgramStarted,
                   {{"program", "laburnumkeel-control"}, {"vm", settings.vm}});
  signal.Wait();
  kernel::LogEvent(kernel::kShutdownRequested, {{"vm", settings.vm}});
  state.SetLeaving();
  kernel.Stop();
  kernel::LogEvent(kernel::kProgramStopped, {{"vm", settings.vm}});
  return 0;
}
