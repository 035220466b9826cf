#include "programs/laburnumkeel-control/promotion_service.h"

#include <utility>

namespace laburnumkeel::control {

namespace {

constexpr std::chrono::milliseconds kConfigurationCheckInterval{100};

}  // namespace

PromotionService::PromotionService(const ControlSettings& settings,
                                   FleetState& state,
                                   platform::SharedTable table)
    : settings(settings),
      state(state),
      table(std::move(table)),
      task([this] { return this->Step(); }) {}

bool PromotionService::Start() {
  this->task.Start();
  return true;
}

void PromotionService::Stop() {
  this->task.Stop();
  for (const auto& [name, watch] : this->watches) {
    watch->Stop();
  }
  this->watches.clear();
}

kernel::Duration PromotionService::Step() {
  const auto configuration = this->state.Configuration();
  if (configuration->version == this->applied_version) {
    return kConfigurationCheckInterval;
  }
  this->applied_version = configuration->version;
  std::map<std::string, std::unique_ptr<GroupWatch>> next;
  for (const model::Service& service : configuration->services) {
    for (const model::DatabaseGroup& group : service.groups) {
      const auto known = this->watches.find(group.name);
      if (known != this->watches.end() && known->second->Group() == group) {
        next.insert(this->watches.extract(known));
        continue;
      }
      auto watch = std::make_unique<GroupWatch>(this->settings, this->state,
                                                group, this->table);
      watch->Start();
      next.emplace(group.name, std::move(watch));
    }
  }
  this->watches.swap(next);
  return kConfigurationCheckInterval;
}

}  // namespace laburnumkeel::control
