#include "programs/laburnumkeel-control/group_watch.h"

#include <algorithm>
#include <random>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/membership/watcher_selection.h"
#include "programs/laburnumkeel-control/events.h"

namespace laburnumkeel::control {

namespace {

constexpr std::chrono::milliseconds kPollInterval{500};

}  // namespace

GroupWatch::GroupWatch(const ControlSettings& settings, FleetState& state,
                       const model::DatabaseGroup& group,
                       platform::SharedTable table)
    : settings(settings),
      state(state),
      group(group),
      members(group, endpoints::Origin{settings.vm, settings.data_centre}),
      detector(this->clock, 0, std::random_device{}()),
      promoter(settings.vm, state.Incarnation(), this->members,
               std::move(table)),
      task([this] { return this->Step(); }) {}

kernel::Duration GroupWatch::Step() {
  this->UpdateRank();
  if (!this->rank.has_value()) {
    return kPollInterval;
  }
  const kernel::Instant began = this->clock.Now();
  this->Poll();
  if (this->detector.IsDue()) {
    this->PromoteAfterFailure();
  }
  this->PublishPending();
  return std::max<kernel::Duration>(kPollInterval - (this->clock.Now() - began),
                                    kernel::Duration(0));
}

void GroupWatch::UpdateRank() {
  const auto next = membership::WatcherRank(
      this->group.name, this->state.LiveVms(), this->settings.vm);
  if (next == this->rank) {
    return;
  }
  kernel::LogEvent(kWatchChanged,
                   {{"group", this->group.name},
                    {"rank", next.has_value() ? std::to_string(*next)
                                              : std::string("none")}});
  this->rank = next;
  if (next.has_value()) {
    this->detector.SetRank(*next);
  }
}

void GroupWatch::Poll() {
  for (const model::Endpoint& endpoint : this->group.endpoints) {
    const auto status = this->members.Status(endpoint.name);
    if (status.has_value()) {
      this->detector.Observe(status.value());
      this->statuses.insert_or_assign(endpoint.name, status.value());
    }
  }
}

void GroupWatch::PromoteAfterFailure() {
  promotion::PromotionRequest request;
  request.group = this->group.name;
  request.members = this->MemberNames();
  request.known_term = this->detector.HighestTerm();
  this->Finish(this->promoter.Promote(request));
}

void GroupWatch::Finish(
    const kernel::Result<promotion::PromotionResult, promotion::PromotionError>&
        result) {
  if (result.has_value()) {
    this->detector.ObserveTerm(result.value().term);
    this->unpublished = result.value();
    return;
  }
  this->detector.OnLostRace(result.error().highest_term);
}

void GroupWatch::PublishPending() {
  if (this->unpublished.has_value() &&
      this->promoter.Publish(*this->unpublished).has_value()) {
    this->unpublished.reset();
  }
}

std::vector<std::string> GroupWatch::MemberNames() const {
  std::vector<std::string> names;
  for (const model::Endpoint& endpoint : this->group.endpoints) {
    names.push_back(endpoint.name);
  }
  // Sealing stops at a majority, so the silent primary comes last.
  std::stable_partition(names.begin(), names.end(),
                        [this](const std::string& name) {
                          return name != this->detector.Primary();
                        });
  return names;
}

}  // namespace laburnumkeel::control
