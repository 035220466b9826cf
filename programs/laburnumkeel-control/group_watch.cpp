#include "programs/laburnumkeel-control/group_watch.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/membership/events.h"
#include "laburnumkeel/membership/watcher_selection.h"

namespace laburnumkeel::control {

namespace {

constexpr std::chrono::milliseconds kPollInterval{500};
// Delay per rank, in which the watcher of the rank before can move the primary;
// a planned promotion takes up to 2 s.
constexpr kernel::Duration kMoveDelay = std::chrono::milliseconds(2500);
constexpr std::chrono::milliseconds kMovePollInterval{20};
// The published row is only a hint, and a store outage may last for hours.
constexpr kernel::Duration kPublicationInterval = std::chrono::seconds(5);

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
  } else {
    this->MoveDepartingPrimary();
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
  if (next.has_value()) {
    kernel::LogEvent(membership::kWatchStarted,
                     {{"group", this->group.name}, {"rank", *next}});
  } else {
    kernel::LogEvent(membership::kWatchEnded, {{"group", this->group.name}});
  }
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
  this->RecordResult(this->promoter.Promote(request));
}

void GroupWatch::MoveDepartingPrimary() {
  const std::string primary = this->detector.Primary();
  if (primary.empty() || this->IsInService(primary)) {
    this->departing_since.reset();
    return;
  }
  const kernel::Instant now = this->clock.Now();
  if (!this->departing_since.has_value()) {
    this->departing_since = now;
  }
  const std::string target = this->BestSuccessor(primary);
  if (now - *this->departing_since < *this->rank * kMoveDelay ||
      target.empty()) {
    return;
  }
  this->MovePrimary(primary, target);
  this->departing_since.reset();
}

void GroupWatch::MovePrimary(const std::string& primary,
                             const std::string& target) {
  promotion::PlannedPromotion<kernel::BootClock, EndpointMembers,
                              platform::SharedTable>
      planned(this->clock, this->members, this->promoter,
              promotion::PlannedPromotionRequest{
                  this->group.name, this->MemberNames(), primary, target});
  const auto started = planned.Start();
  if (!started.has_value()) {
    this->detector.ObserveTerm(started.error().highest_term);
    return;
  }
  while (true) {
    const auto polled = planned.Poll();
    if (!polled.has_value()) {
      this->RecordResult(polled.error());
      return;
    }
    if (polled.value().has_value()) {
      this->RecordResult(*polled.value());
      return;
    }
    std::this_thread::sleep_for(kMovePollInterval);
  }
}

bool GroupWatch::IsInService(const std::string& endpoint) const {
  const auto configuration = this->state.Configuration();
  for (const model::Endpoint& member : this->group.endpoints) {
    if (member.name != endpoint) {
      continue;
    }
    return member.availability == model::Availability::kIn &&
           std::none_of(configuration->data_centres.begin(),
                        configuration->data_centres.end(),
                        [&](const model::DataCentre& data_centre) {
                          return data_centre.name == member.data_centre &&
                                 data_centre.availability ==
                                     model::Availability::kOut;
                        });
  }
  return false;
}

std::string GroupWatch::BestSuccessor(const std::string& primary) const {
  std::string best;
  model::LogPosition best_end;
  for (const auto& [name, status] : this->statuses) {
    if (name != primary && this->IsInService(name) &&
        (best.empty() || best_end < status.log_end)) {
      best = name;
      best_end = status.log_end;
    }
  }
  return best;
}

void GroupWatch::RecordResult(
    const kernel::Result<promotion::PromotionResult, promotion::PromotionError>&
        result) {
  if (result.has_value()) {
    this->detector.ObserveTerm(result.value().term);
    this->unpublished = result.value();
    this->next_publication = this->clock.Now();
    return;
  }
  this->detector.OnFailedPromotion(result.error().highest_term);
}

void GroupWatch::PublishPending() {
  const kernel::Instant now = this->clock.Now();
  if (!this->unpublished.has_value() || now < this->next_publication) {
    return;
  }
  if (this->promoter.Publish(*this->unpublished).has_value()) {
    this->unpublished.reset();
  }
  this->next_publication = now + kPublicationInterval;
}

std::vector<std::string> GroupWatch::MemberNames() const {
  std::vector<std::string> names;
  for (const model::Endpoint& endpoint : this->group.endpoints) {
    names.push_back(endpoint.name);
  }
  // Sealing stops at a majority, so the unresponsive primary comes last.
  std::stable_partition(names.begin(), names.end(),
                        [this](const std::string& name) {
                          return name != this->detector.Primary();
                        });
  return names;
}

}  // namespace laburnumkeel::control
