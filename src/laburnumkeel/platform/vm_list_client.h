#ifndef LABURNUMKEEL_PLATFORM_VM_LIST_CLIENT_H_
#define LABURNUMKEEL_PLATFORM_VM_LIST_CLIENT_H_

#include <chrono>
#include <string>
#include <vector>

#include "laburnumkeel/platform/platform_caller.h"

namespace laburnumkeel::platform {

enum class ListedState { kLive, kDeparting };

// An entry of the platform's VM list. The list is updated with a delay: a
// listed VM may have stopped, and a running VM may be missing.
struct ListedVm {
  std::string name;
  std::string data_centre;
  // `IP:port` of the control and entry programs.
  std::string control_address;
  std::string entry_address;
  ListedState state = ListedState::kLive;

  bool operator==(const ListedVm&) const = default;
};

// HTTP client of the platform's VM list. Thread-safe.
class VmListClient {
 public:
  // Parameters as in `PlatformCaller`.
  VmListClient(std::string address, std::string origin,
               std::chrono::milliseconds timeout);

  // kInvalidResponse if an entry cannot be parsed; kUnavailable without a
  // response.
  kernel::Result<std::vector<ListedVm>, PlatformError> List();

 private:
  PlatformCaller caller;
};

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_VM_LIST_CLIENT_H_
