#include "programs/laburnumkeel-entry/group_runtime.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::entry {

namespace {

endpoints::PoolSettings SettingsOf(const model::Endpoint& endpoint,
                                   const endpoints::Origin& origin,
                                   std::int64_t fleet_size) {
  endpoints::PoolSettings settings;
  settings.endpoint = endpoint.name;
  settings.address = endpoint.address;
  settings.origin = origin;
  // Rounded down, so that the sum over all VMs is within the limit.
  settings.maximum_connections =
      static_cast<std::size_t>(endpoint.connections / fleet_size);
  return settings;
}

}  // namespace

GroupRuntime::GroupRuntime(const endpoints::Origin& origin,
                           const model::DatabaseGroup& group,
                           const std::vector<model::DataCentre>& data_centres,
                           std::int64_t fleet_size)
    : origin(origin),
      view(routing::GroupView(group, data_centres, this->clock.Now())) {
  this->Reconfigure(group, data_centres, fleet_size);
}

GroupRuntime::~GroupRuntime() {
  std::map<std::string, Member> removed;
  {
    const std::lock_guard lock(this->mutex);
    removed.swap(this->members);
  }
  for (const auto& [name, member] : removed) {
    member.monitor->RequestStop();
  }
  for (const auto& [name, member] : removed) {
    member.monitor->Stop();
    member.pool->Close();
  }
}

void GroupRuntime::Reconfigure(
    const model::DatabaseGroup& group,
    const std::vector<model::DataCentre>& data_centres,
    std::int64_t fleet_size) {
  this->UpdateView([&](const routing::GroupView& old) {
    return old.WithConfiguration(group, data_centres, this->clock.Now());
  });
  std::map<std::string, Member> removed;
  {
    const std::lock_guard lock(this->mutex);
    removed.swap(this->members);
    for (const model::Endpoint& endpoint : group.endpoints) {
      const auto known = removed.find(endpoint.name);
      if (known != removed.end() &&
          known->second.pool->Settings() ==
              SettingsOf(endpoint, this->origin, fleet_size)) {
        this->members.insert(removed.extract(known));
      }
    }
  }
  // Callbacks of the monitors acquire the lock, so monitors are stopped and
  // started without it.
  for (const auto& [name, member] : removed) {
    member.monitor->Stop();
    member.pool->Close();
  }
  for (const model::Endpoint& endpoint : group.endpoints) {
    if (this->FindPool(endpoint.name) == nullptr) {
      Member member = this->CreateMember(endpoint, fleet_size);
      const std::lock_guard lock(this->mutex);
      this->members.emplace(endpoint.name, std::move(member));
    }
  }
}

GroupRuntime::Member GroupRuntime::CreateMember(const model::Endpoint& endpoint,
                                                std::int64_t fleet_size) {
  endpoints::MonitorSettings settings;
  settings.endpoint = endpoint.name;
  settings.address = endpoint.address;
  settings.origin = this->origin;
  return Member{
      std::make_shared<Pool>(SettingsOf(endpoint, this->origin, fleet_size)),
      std::make_shared<Monitor>(
          settings,
          [this](const model::EndpointStatus& status, kernel::Instant sent) {
            this->OnStatus(status, sent);
          },
          [this, name = endpoint.name](const endpoints::EndpointError&) {
            this->OnFailure(name);
          })};
}

template <class Change>
void GroupRuntime::UpdateView(Change change) {
  this->view.Update(change);
  // The empty critical section keeps a waiter from missing the notification
  // between its check and its wait.
  { const std::lock_guard lock(this->mutex); }
  this->changed.notify_all();
}

void GroupRuntime::OnStatus(const model::EndpointStatus& status,
                            kernel::Instant sent) {
  const kernel::Instant now = this->clock.Now();
  const bool is_warm = this->IsWarm(status.endpoint);
  {
    const std::lock_guard lock(this->mutex);
    this->failing[status.endpoint] = false;
  }
  this->UpdateView([&](const routing::GroupView& old) {
    return old.WithStatus(routing::MeasuredStatus{status, sent, now})
        .WithPoolWarm(status.endpoint, is_warm, now);
  });
}

void GroupRuntime::OnFailure(const std::string& endpoint) {
  const bool is_warm = this->IsWarm(endpoint);
  {
    const std::lock_guard lock(this->mutex);
    this->failing[endpoint] = true;
  }
  this->UpdateView([&](const routing::GroupView& old) {
    return old.WithPoolWarm(endpoint, is_warm, this->clock.Now());
  });
}

std::shared_ptr<const routing::GroupView> GroupRuntime::WaitForChange(
    const std::shared_ptr<const routing::GroupView>& previous,
    kernel::Instant deadline) const {
  std::unique_lock lock(this->mutex);
  const kernel::Duration remaining =
      std::max(deadline - this->clock.Now(), kernel::Duration(0));
  this->changed.wait_for(lock, remaining,
                         [&] { return this->View() != previous; });
  return this->View();
}

std::shared_ptr<GroupRuntime::Pool> GroupRuntime::FindPool(
    const std::string& endpoint) const {
  const std::lock_guard lock(this->mutex);
  const auto member = this->members.find(endpoint);
  return member == this->members.end() ? nullptr : member->second.pool;
}

bool GroupRuntime::IsWarm(const std::string& endpoint) const {
  const auto pool = this->FindPool(endpoint);
  return pool != nullptr && pool->IsWarm();
}

bool GroupRuntime::IsReady() const {
  if (this->View()->Primary() == nullptr) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  return std::all_of(
      this->members.begin(), this->members.end(), [this](const auto& member) {
        const auto known = this->failing.find(member.first);
        const bool unreachable = known != this->failing.end() && known->second;
        return unreachable || member.second.pool->IsWarm();
      });
}

}  // namespace laburnumkeel::entry
