#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_SHARE_SERVICE_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_SHARE_SERVICE_H_

#include <random>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/periodic_task.h"
#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/limits/ledger_round.h"
#include "laburnumkeel/platform/shared_table.h"
#include "programs/laburnumkeel-control/fleet_state.h"
#include "programs/laburnumkeel-control/share_exchange.h"

namespace laburnumkeel::control {

// Runs this VM's rounds of the share ledger and releases its shares on
// stopping.
class ShareService : public kernel::Service {
 public:
  static constexpr char kName[] = "shares";

  ShareService(const ControlSettings& settings, FleetState& state,
               ShareExchange& share_exchange, platform::SharedTable table);

  bool Start() override;
  void Stop() override;

 private:
  using Round = limits::LedgerRound<kernel::BootClock, platform::SharedTable,
                                    ShareExchange>;

  kernel::Duration Step();
  double RandomFraction();

  FleetState& state;
  ShareExchange& share_exchange;
  platform::SharedTable table;
  const kernel::BootClock clock{};
  std::mt19937_64 random{std::random_device{}()};
  Round round;
  kernel::Instant next_round;
  kernel::Instant last_round;
  kernel::PeriodicTask task;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_SHARE_SERVICE_H_
