#include "programs/laburnumkeel-proxy/relay_sources.h"

#include <utility>
#include <vector>

namespace laburnumkeel::proxy {

std::string RelaySources::Next(const std::map<std::string, VmRow>& vms,
                               const std::string& own_name,
                               const std::string& data_centre,
                               const std::string& leader_address) {
  std::vector<std::string> neighbours;
  const auto add = [&](auto first, auto last) {
    for (; first != last; ++first) {
      const auto& [name, row] = *first;
      if (name != own_name && row.data_centre == data_centre) {
        neighbours.push_back(row.address);
      }
    }
  };
  const auto next = vms.upper_bound(own_name);
  add(next, vms.end());
  add(vms.begin(), next);
  if (neighbours.empty()) {
    return leader_address;
  }
  if (std::exchange(this->is_leader_next, !this->is_leader_next) &&
      !leader_address.empty()) {
    return leader_address;
  }
  return neighbours[this->asked++ % neighbours.size()];
}

}  // namespace laburnumkeel::proxy
