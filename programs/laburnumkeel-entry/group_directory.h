#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_GROUP_DIRECTORY_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_GROUP_DIRECTORY_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "laburnumkeel/endpoints/endpoint_connection.h"
#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/model/configuration.h"
#include "programs/laburnumkeel-entry/group_runtime.h"

namespace laburnumkeel::entry {

// The groups of the configuration in effect. Thread-safe.
class GroupDirectory : public kernel::Service {
 public:
  static constexpr char kName[] = "groups";

  explicit GroupDirectory(endpoints::Origin origin)
      : origin(std::move(origin)) {}

  bool Start() override { return true; }
  void Stop() override;

  void Apply(const model::Configuration& configuration);

  // Null if there is no such group.
  std::shared_ptr<GroupRuntime> Find(const std::string& service,
                                     const std::string& group) const;

  // True if there are groups and each one can serve reads and writes with warm
  // connections.
  bool IsReady() const;

 private:
  using Key = std::pair<std::string, std::string>;

  const endpoints::Origin origin;
  mutable std::mutex mutex;
  std::map<Key, std::shared_ptr<GroupRuntime>> groups;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_GROUP_DIRECTORY_H_
