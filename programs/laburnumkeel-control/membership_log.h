#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_MEMBERSHIP_LOG_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_MEMBERSHIP_LOG_H_

#include <set>
#include <string>
#include <vector>

#include "laburnumkeel/membership/vm_record.h"

namespace laburnumkeel::control {

// Logs changes of the live VMs and of the contact with a majority of data
// centres. Not thread-safe.
class MembershipLog {
 public:
  void Update(const std::vector<membership::VmRecord>& live_vms,
              bool has_majority);

 private:
  std::set<std::string> known_vms;
  bool had_majority = true;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_MEMBERSHIP_LOG_H_
