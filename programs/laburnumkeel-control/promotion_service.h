#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_PROMOTION_SERVICE_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_PROMOTION_SERVICE_H_

#include <map>
#include <memory>
#include <string>

#include "laburnumkeel/kernel/periodic_task.h"
#include "laburnumkeel/kernel/service.h"
#include "programs/laburnumkeel-control/group_watch.h"

namespace laburnumkeel::control {

// Runs a `GroupWatch` for each group of the configuration.
class PromotionService : public kernel::Service {
 public:
  static constexpr char kName[] = "promotion";

  PromotionService(const ControlSettings& settings, FleetState& state,
                   platform::SharedTable table);

  bool Start() override;
  void Stop() override;

 private:
  kernel::Duration Step();

  const ControlSettings settings;
  FleetState& state;
  platform::SharedTable table;
  std::uint64_t applied_version = 0;
  std::map<std::string, std::unique_ptr<GroupWatch>> watches;
  kernel::PeriodicTask task;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_PROMOTION_SERVICE_H_
