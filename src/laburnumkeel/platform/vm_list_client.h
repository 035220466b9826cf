#ifndef LABURNUMKEEL_PLATFORM_VM_LIST_CLIENT_H_
#define LABURNUMKEEL_PLATFORM_VM_LIST_CLIENT_H_

#include <chrono>
#include <string>
#include <vector>

#include "laburnumkeel/platform/platform_caller.h"

namespace laburnumkeel::platform {

enum class ListedState { kLive, kDeparting };

// A VM as the platform lists it. The list lags: a listed VM may be dead and an
// unlisted one alive.
struct ListedVm {
  std::string name;
  std::string data_centre;
  // `IP:port` of the control and entry programs.
  std::string control_address;
  std::string entry_address;
  ListedState state = ListedState::kLive;

  bool operator==(const ListedVm&) const = default;
};

// The platform's list of VMs over HTTP. Thread-safe.
class VmListClient {
 public:
  // As of `PlatformCaller`.
  VmListClient(std::string address, std::string origin,
               std::chrono::milliseconds timeout);

  // kInvalidResponse when an entry cannot be read; kUnavailable without a
  // response.
  kernel::Result<std::vector<ListedVm>, PlatformError> List();

 private:
  PlatformCaller caller;
};

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_VM_LIST_CLIENT_H_
