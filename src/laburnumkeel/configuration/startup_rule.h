#ifndef LABURNUMKEEL_CONFIGURATION_STARTUP_RULE_H_
#define LABURNUMKEEL_CONFIGURATION_STARTUP_RULE_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace laburnumkeel::configuration {

// Decides when a starting VM may serve. A VM stores nothing on disk, so it must
// obtain the newest version from the store or from a majority of the listed
// VMs. Not thread-safe.
class StartupRule {
 public:
  void OnStoreResponse(std::uint64_t version);

  // A peer that is still starting does not count. It responds with version 0
  // until it is ready, because its version may come from a minority.
  void OnPeerResponse(const std::string& vm, std::uint64_t version);

  // `listed_vms` are the names in the platform's VM list, which may contain
  // this VM. True when the store or a majority of the listed VMs responded and
  // `held_version` is at least the highest version in the responses.
  bool IsReady(const std::vector<std::string>& listed_vms,
               std::uint64_t held_version) const;

 private:
  bool has_store_response = false;
  std::set<std::string> responded_vms;
  std::uint64_t highest_version = 0;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_STARTUP_RULE_H_
