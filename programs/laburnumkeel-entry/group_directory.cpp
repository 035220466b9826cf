#include "programs/laburnumkeel-entry/group_directory.h"

#include <algorithm>

namespace laburnumkeel::entry {

void GroupDirectory::Stop() {
  std::map<Key, std::shared_ptr<GroupRuntime>> removed;
  const std::lock_guard lock(this->mutex);
  removed.swap(this->groups);
}

void GroupDirectory::Apply(const model::Configuration& configuration) {
  std::map<Key, std::shared_ptr<GroupRuntime>> next;
  for (const model::Service& service : configuration.services) {
    for (const model::DatabaseGroup& group : service.groups) {
      std::shared_ptr<GroupRuntime> runtime =
          this->Find(service.name, group.name);
      if (runtime == nullptr) {
        runtime = std::make_shared<GroupRuntime>(this->origin, group,
                                                 configuration.data_centres,
                                                 configuration.fleet_size);
      } else {
        runtime->Reconfigure(group, configuration.data_centres,
                             configuration.fleet_size);
      }
      next.emplace(Key{service.name, group.name}, std::move(runtime));
    }
  }
  // Removed groups are destroyed after the lock is released.
  const std::lock_guard lock(this->mutex);
  this->groups.swap(next);
}

std::shared_ptr<GroupRuntime> GroupDirectory::Find(
    const std::string& service, const std::string& group) const {
  const std::lock_guard lock(this->mutex);
  const auto entry = this->groups.find(Key{service, group});
  return entry == this->groups.end() ? nullptr : entry->second;
}

bool GroupDirectory::IsReady() const {
  const std::lock_guard lock(this->mutex);
  return !this->groups.empty() &&
         std::all_of(this->groups.begin(), this->groups.end(),
                     [](const auto& entry) { return entry.second->IsReady(); });
}

}  // namespace laburnumkeel::entry
