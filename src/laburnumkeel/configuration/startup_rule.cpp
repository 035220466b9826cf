#include "laburnumkeel/configuration/startup_rule.h"

#include <algorithm>

namespace laburnumkeel::configuration {

void StartupRule::OnStoreResponse(std::uint64_t version) {
  this->has_store_response = true;
  this->highest_version = std::max(this->highest_version, version);
}

void StartupRule::OnPeerResponse(const std::string& vm, std::uint64_t version) {
  if (version == 0) {
    return;
  }
  this->responded_vms.insert(vm);
  this->highest_version = std::max(this->highest_version, version);
}

bool StartupRule::IsReady(const std::vector<std::string>& listed_vms,
                          std::uint64_t held_version) const {
  if (held_version == 0 || held_version < this->highest_version) {
    return false;
  }
  const auto responses = std::count_if(
      listed_vms.begin(), listed_vms.end(), [this](const std::string& vm) {
        return this->responded_vms.contains(vm);
      });
  return this->has_store_response ||
         static_cast<std::size_t>(responses) * 2 > listed_vms.size();
}

}  // namespace laburnumkeel::configuration
