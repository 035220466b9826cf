#ifndef LABURNUMKEEL_MEMBERSHIP_VM_RECORD_H_
#define LABURNUMKEEL_MEMBERSHIP_VM_RECORD_H_

#include <string>

namespace laburnumkeel::membership {

// A VM as described by the platform's list or by the VM itself.
struct VmRecord {
  std::string name;
  std::string data_centre;
  // `IP:port` of the control and entry programs; may be empty for a VM that is
  // known only from its own calls.
  std::string control_address;
  std::string entry_address;
  bool departing = false;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang-tidy 14.
  auto operator<=>(const VmRecord&) const = default;
};

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_VM_RECORD_H_
