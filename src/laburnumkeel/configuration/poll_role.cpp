#include "laburnumkeel/configuration/poll_role.h"

#include "laburnumkeel/membership/rendezvous.h"

namespace laburnumkeel::configuration {

bool HasPollRole(const std::string& data_centre, const std::string& vm,
                 const std::vector<std::string>& other_live_vms) {
  std::vector<std::string> candidates = other_live_vms;
  candidates.push_back(vm);
  return membership::RendezvousOrder("configuration/" + data_centre, candidates)
             .front() == vm;
}

}  // namespace laburnumkeel::configuration
