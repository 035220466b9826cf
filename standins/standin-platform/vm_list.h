#ifndef LABURNUMKEEL_STANDINS_PLATFORM_VM_LIST_H_
#define LABURNUMKEEL_STANDINS_PLATFORM_VM_LIST_H_

#include <chrono>
#include <deque>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/kernel/boot_clock.h"

namespace laburnumkeel::standins {

struct ListedVm {
  std::string name;
  std::string data_centre;
  // `IP:port`.
  std::string control_address;
  std::string entry_address;
  bool departing = false;

  bool operator==(const ListedVm&) const = default;
};

nlohmann::json ToJson(const std::vector<ListedVm>& vms);

// Reads the JSON list of `GET /vms`; empty when malformed.
std::optional<std::vector<ListedVm>> ParseVmList(std::string_view text);

// Reads `name=data_centre/control_address/entry_address,...`; empty when
// malformed.
std::optional<std::vector<ListedVm>> ParseVmSetting(std::string_view text);

// The platform's list of VMs. A change becomes visible after a lag.
// Thread-safe.
class VmList {
 public:
  VmList(std::vector<ListedVm> vms, std::chrono::milliseconds lag);

  void Replace(std::vector<ListedVm> vms);

  // The list without the changes of the last `lag`.
  std::vector<ListedVm> Visible();

 private:
  struct Change {
    std::vector<ListedVm> vms;
    kernel::Instant visible_from;
  };

  const std::chrono::milliseconds lag;
  kernel::BootClock clock;
  std::mutex mutex;
  std::vector<ListedVm> visible;
  std::deque<Change> changes;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_PLATFORM_VM_LIST_H_
