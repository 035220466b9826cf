#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_GROUP_WATCH_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_GROUP_WATCH_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/periodic_task.h"
#include "laburnumkeel/platform/shared_table.h"
#include "laburnumkeel/promotion/failure_detector.h"
#include "laburnumkeel/promotion/planned_promotion.h"
#include "laburnumkeel/promotion/promoter.h"
#include "programs/laburnumkeel-control/endpoint_members.h"
#include "programs/laburnumkeel-control/fleet_state.h"

namespace laburnumkeel::control {

// Watches one group while this VM is among its watchers: promotes another
// endpoint when the primary does not respond, and moves the primary away from
// an endpoint or a data centre that operators take out of service.
class GroupWatch {
 public:
  GroupWatch(const ControlSettings& settings, FleetState& state,
             const model::DatabaseGroup& group, platform::SharedTable table);

  void Start() { this->task.Start(); }
  void Stop() { this->task.Stop(); }

  const model::DatabaseGroup& Group() const { return this->group; }

 private:
  kernel::Duration Step();
  void UpdateRank();
  void Poll();
  void PromoteAfterFailure();
  // Moves the primary when it has been out of service for this rank's delay.
  void MoveDepartingPrimary();
  void MovePrimary(const std::string& primary, const std::string& target);
  void RecordResult(const kernel::Result<promotion::PromotionResult,
                                         promotion::PromotionError>& result);
  void PublishPending();
  std::vector<std::string> MemberNames() const;
  // Whether operators left the endpoint and its data centre in service.
  bool IsInService(const std::string& endpoint) const;
  // The member in service, other than the primary, with the greatest log end;
  // empty if there is none.
  std::string BestSuccessor(const std::string& primary) const;

  const ControlSettings settings;
  FleetState& state;
  const model::DatabaseGroup group;
  const kernel::BootClock clock{};
  EndpointMembers members;
  promotion::FailureDetector<kernel::BootClock> detector;
  promotion::Promoter<EndpointMembers, platform::SharedTable> promoter;
  std::optional<unsigned> rank;
  std::map<std::string, model::EndpointStatus> statuses;
  std::optional<promotion::PromotionResult> unpublished;
  kernel::Instant next_publication;
  std::optional<kernel::Instant> departing_since;
  kernel::PeriodicTask task;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_GROUP_WATCH_H_
