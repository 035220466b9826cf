#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_CONTROL_LINK_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_CONTROL_LINK_H_

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "laburnumkeel/configuration/configuration_holder.h"
#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/periodic_task.h"
#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/limits/account_limiter.h"
#include "laburnumkeel/peer/generated/LocalControl.h"
#include "laburnumkeel/peer/thrift_client.h"
#include "programs/laburnumkeel-entry/access_gate.h"
#include "programs/laburnumkeel-entry/group_directory.h"

namespace laburnumkeel::entry {

// Exchanges demand, shares and configuration with the control program of this
// VM every 100 ms.
class ControlLink : public kernel::Service {
 public:
  static constexpr char kName[] = "control";

  // Called from the thread of the exchange after a new configuration is
  // applied.
  using ConfigurationHandler =
      std::function<void(const model::Configuration& configuration)>;

  ControlLink(const std::string& address, AccessGate<kernel::BootClock>& gate,
              limits::AccountLimiter<kernel::BootClock>& limiter,
              GroupDirectory& groups, ConfigurationHandler on_configuration);

  bool Start() override;
  void Stop() override;

  // True once this VM has held shares for long enough that its buckets, which
  // start empty, admit requests. Stays true from then on.
  bool HasFilledBuckets() const { return this->buckets_filled; }

 private:
  void Exchange();
  peer::generated::EntryReport MakeReport();
  void Apply(const peer::generated::EntryInstructions& instructions,
             kernel::Instant sent);
  void ApplyShares(const peer::generated::EntryInstructions& instructions,
                   kernel::Instant sent);
  void ApplyConfiguration(const std::string& document);
  void LogReachability(bool is_reachable, const std::string& reason);

  const kernel::BootClock clock{};
  const std::string incarnation;
  AccessGate<kernel::BootClock>& gate;
  limits::AccountLimiter<kernel::BootClock>& limiter;
  GroupDirectory& groups;
  const ConfigurationHandler on_configuration;
  peer::ThriftClient<peer::generated::LocalControlClient> client;
  configuration::ConfigurationHolder configuration;
  std::int64_t applied_offer = 0;
  std::string control_incarnation;
  bool reachable = true;
  std::optional<kernel::Instant> shares_since;
  std::atomic<bool> buckets_filled = false;
  kernel::PeriodicTask task;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_CONTROL_LINK_H_
