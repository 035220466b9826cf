#ifndef LABURNUMKEEL_PROGRAMS_PROXY_RELAY_SOURCES_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_RELAY_SOURCES_H_

#include <cstddef>
#include <map>
#include <string>

#include "programs/laburnumkeel-proxy/fleet_rows.h"

namespace laburnumkeel::proxy {

// Chooses the VM that is asked for rows which the store does not give to this
// one. The VMs of the own data centre take turns with the leader, beginning
// with the one whose name follows the own one, so that VMs which are refused
// together ask different ones.
class RelaySources {
 public:
  // Returns the address to ask next; empty when no other VM is known.
  // `leader_address` is empty when the leader is unknown or this VM itself.
  std::string Next(const std::map<std::string, VmRow>& vms,
                   const std::string& own_name, const std::string& data_centre,
                   const std::string& leader_address);

 private:
  bool is_leader_next = false;
  // Neighbours asked so far.
  std::size_t asked = 0;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_RELAY_SOURCES_H_
