#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_GROUP_RUNTIME_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_GROUP_RUNTIME_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "laburnumkeel/endpoints/endpoint_monitor.h"
#include "laburnumkeel/endpoints/endpoint_pool.h"
#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/model/configuration.h"
#include "laburnumkeel/routing/group_view_holder.h"

namespace laburnumkeel::entry {

// Connection pools and status monitors of one group on this VM, and the group
// view that they update. Thread-safe.
class GroupRuntime {
 public:
  using Pool = endpoints::EndpointPool<kernel::BootClock>;

  GroupRuntime(const endpoints::Origin& origin,
               const model::DatabaseGroup& group,
               const std::vector<model::DataCentre>& data_centres,
               std::int64_t fleet_size);
  ~GroupRuntime();
  GroupRuntime(const GroupRuntime&) = delete;
  GroupRuntime& operator=(const GroupRuntime&) = delete;

  // Applies a newer configuration. Connections to endpoints whose address and
  // limits are unchanged stay open.
  void Reconfigure(const model::DatabaseGroup& group,
                   const std::vector<model::DataCentre>& data_centres,
                   std::int64_t fleet_size);

  std::shared_ptr<const routing::GroupView> View() const {
    return this->view.Snapshot();
  }

  // Waits until the view differs from `previous`, or until `deadline`, and
  // returns the latest view.
  std::shared_ptr<const routing::GroupView> WaitForChange(
      const std::shared_ptr<const routing::GroupView>& previous,
      kernel::Instant deadline) const;

  // Null if the endpoint is no longer a member.
  std::shared_ptr<Pool> FindPool(const std::string& endpoint) const;

  // True when a primary is known and all reachable members have warm pools.
  bool IsReady() const;

 private:
  using Monitor = endpoints::EndpointMonitor<kernel::BootClock>;

  // Pool and status monitor of one endpoint.
  struct Member {
    std::shared_ptr<Pool> pool;
    std::shared_ptr<Monitor> monitor;
  };

  Member CreateMember(const model::Endpoint& endpoint, std::int64_t fleet_size);
  void OnStatus(const model::EndpointStatus& status, kernel::Instant sent);
  void OnFailure(const std::string& endpoint);
  bool IsWarm(const std::string& endpoint) const;
  template <class Change>
  void UpdateView(Change change);

  const endpoints::Origin origin;
  const kernel::BootClock clock{};
  routing::GroupViewHolder view;
  mutable std::mutex mutex;
  mutable std::condition_variable changed;
  std::map<std::string, Member> members;
  std::map<std::string, bool> failing;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_GROUP_RUNTIME_H_
