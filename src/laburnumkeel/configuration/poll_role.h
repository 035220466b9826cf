#ifndef LABURNUMKEEL_CONFIGURATION_POLL_ROLE_H_
#define LABURNUMKEEL_CONFIGURATION_POLL_ROLE_H_

#include <string>
#include <vector>

namespace laburnumkeel::configuration {

// Whether `vm` polls the store for its data centre: it is first in the
// rendezvous order of the data centre's live VMs. VMs with different views of
// which VMs are live may both poll, which costs only additional reads.
bool HasPollRole(const std::string& data_centre, const std::string& vm,
                 const std::vector<std::string>& other_live_vms);

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_POLL_ROLE_H_
