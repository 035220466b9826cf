#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_LOCAL_CONTROL_HANDLER_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_LOCAL_CONTROL_HANDLER_H_

#include <string>
#include <vector>

#include "laburnumkeel/peer/generated/LocalControl.h"
#include "programs/laburnumkeel-control/configuration_service.h"
#include "programs/laburnumkeel-control/share_exchange.h"

namespace laburnumkeel::control {

// Serves requests of the entry and administration programs of this VM.
class LocalControlHandler : public peer::generated::LocalControlIf {
 public:
  LocalControlHandler(FleetState& state, ConfigurationService& configuration,
                      ShareExchange& share_exchange);

  void sync(peer::generated::EntryInstructions& result,
            const peer::generated::EntryReport& report) override;
  void submitConfiguration(peer::generated::SubmitResult& result,
                           const std::string& document,
                           std::int64_t base_version,
                           const std::string& operation_id) override;
  void currentConfiguration(
      peer::generated::ConfigurationCopy& result) override;
  void fleetStatus(std::vector<peer::generated::VmStatus>& result) override;

 private:
  FleetState& state;
  ConfigurationService& configuration;
  ShareExchange& share_exchange;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_LOCAL_CONTROL_HANDLER_H_
