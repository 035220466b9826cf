#ifndef LABURNUMKEEL_PROMOTION_PLANNED_PROMOTION_H_
#define LABURNUMKEEL_PROMOTION_PLANNED_PROMOTION_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/promotion/events.h"
#include "laburnumkeel/promotion/group_members.h"
#include "laburnumkeel/promotion/promoter.h"
#include "laburnumkeel/promotion/promotion_error.h"
#include "laburnumkeel/promotion/promotion_result.h"

namespace laburnumkeel::promotion {

struct PlannedPromotionRequest {
  std::string group;
  // All configured members.
  std::vector<std::string> members;
  // The departing primary.
  std::string primary;
  // The member to promote if it catches up in time.
  std::string target;

  bool operator==(const PlannedPromotionRequest&) const = default;
};

// Moves a healthy group away from its primary without failed requests: drains
// the primary, waits until the target has its whole log, then promotes.
//
// Call `Start` once and then `Poll` about every 20 ms until it returns a result
// or an error. Not thread-safe.
template <kernel::Clock ClockType, GroupMembers Members,
          platform::TableStore Store>
class PlannedPromotion {
 public:
  // Time for which the primary refuses writes. Afterwards it accepts them
  // again, so an abandoned planned promotion does not stop the group.
  static constexpr std::chrono::milliseconds kDrainPeriod{2000};
  // Time for the target to catch up; the rest of `kDrainPeriod` is for the
  // promotion.
  static constexpr std::chrono::milliseconds kCatchUpTimeout{1500};

  // `promoter` must outlive this object.
  PlannedPromotion(ClockType clock, Members members,
                   Promoter<Members, Store>& promoter,
                   PlannedPromotionRequest request)
      : clock(std::move(clock)),
        members(std::move(members)),
        promoter(promoter),
        request(std::move(request)) {}

  // Drains the primary. Errors: `kNoResponse` when it does not respond, and
  // `kLostRace` when it is no longer the primary. Nothing was changed in either
  // case, except that the drain may have started if only the response was lost.
  kernel::Result<void, PromotionError> Start() {
    kernel::LogEvent(kPlannedPromotionStarted,
                     {{"group", this->request.group},
                      {"primary", this->request.primary},
                      {"target", this->request.target},
                      {"reason", "primary_departs"}});
    this->started = this->clock.Now();
    const auto status =
        this->members.Drain(this->request.primary, kDrainPeriod);
    if (!status.has_value()) {
      return status.error();
    }
    if (status.value().role != model::EndpointRole::kPrimary ||
        status.value().sealed_term != status.value().log_end.term) {
      return PromotionError{PromotionFailure::kLostRace,
                            this->request.primary + " is not the primary",
                            status.value().sealed_term};
    }
    this->term = status.value().log_end.term;
    return kernel::success();
  }

  // Empty while the target catches up. Errors: see `Promoter::Promote`. The
  // result may name another member than the target; pass it to
  // `Promoter::Publish`.
  kernel::Result<std::optional<PromotionResult>, PromotionError> Poll() {
    const bool has_caught_up = this->HasCaughtUp();
    if (!has_caught_up && this->clock.Now() - this->started < kCatchUpTimeout) {
      return std::optional<PromotionResult>();
    }
    if (!has_caught_up) {
      kernel::LogEvent(kTargetBehind, {{"group", this->request.group},
                                       {"target", this->request.target},
                                       {"reason", "catch_up_time_passed"}});
    }
    const auto result = this->promoter.Promote(
        PromotionRequest{this->request.group, this->SealOrder(), this->term,
                         this->request.target, this->request.primary, true});
    if (!result.has_value()) {
      return result.error();
    }
    return std::optional(result.value());
  }

 private:
  bool HasCaughtUp() {
    // The primary's status is read first: its log no longer grows, so a later
    // status of the target can only be closer.
    const auto primary = this->members.Status(this->request.primary);
    const auto target = this->members.Status(this->request.target);
    return primary.has_value() && target.has_value() &&
           primary.value().log_end == target.value().log_end;
  }

  // Seals the primary first: it must not execute writes after the drain ends,
  // because they could no longer be confirmed.
  std::vector<std::string> SealOrder() const {
    std::vector<std::string> order = this->request.members;
    std::stable_partition(order.begin(), order.end(),
                          [this](const std::string& member) {
                            return member == this->request.primary;
                          });
    return order;
  }

  ClockType clock;
  Members members;
  Promoter<Members, Store>& promoter;
  PlannedPromotionRequest request;
  kernel::Instant started;
  model::Term term = 0;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_PLANNED_PROMOTION_H_
