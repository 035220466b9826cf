#include "programs/laburnumkeel-control/membership_log.h"

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/membership/events.h"

namespace laburnumkeel::control {

void MembershipLog::Update(const std::vector<membership::VmRecord>& live_vms,
                           bool has_majority) {
  std::set<std::string> live;
  for (const membership::VmRecord& vm : live_vms) {
    live.insert(vm.name);
    if (!this->known_vms.contains(vm.name)) {
      kernel::LogEvent(membership::kVmAppeared,
                       {{"vm", vm.name}, {"data_centre", vm.data_centre}});
    }
  }
  for (const std::string& vm : this->known_vms) {
    if (!live.contains(vm)) {
      kernel::LogEvent(membership::kVmLost, {{"vm", vm}});
    }
  }
  this->known_vms.swap(live);
  if (has_majority != this->had_majority) {
    kernel::LogEvent(has_majority ? membership::kMajorityRegained
                                  : membership::kMajorityLost,
                     {{"live_vms", live_vms.size()}});
  }
  this->had_majority = has_majority;
}

}  // namespace laburnumkeel::control
