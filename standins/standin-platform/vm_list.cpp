#include "standins/standin-platform/vm_list.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "standins/common/named_values.h"

namespace laburnumkeel::standins {

nlohmann::json ToJson(const std::vector<ListedVm>& vms) {
  nlohmann::json list = nlohmann::json::array();
  for (const ListedVm& vm : vms) {
    list.push_back({{"name", vm.name},
                    {"data_centre", vm.data_centre},
                    {"control_address", vm.control_address},
                    {"entry_address", vm.entry_address},
                    {"state", vm.departing ? "departing" : "live"}});
  }
  return list;
}

std::optional<std::vector<ListedVm>> ParseVmList(std::string_view text) {
  try {
    std::vector<ListedVm> vms;
    for (const auto& vm : nlohmann::json::parse(text)) {
      const auto state = vm.at("state").get<std::string>();
      if (state != "live" && state != "departing") {
        return std::nullopt;
      }
      vms.push_back(ListedVm{vm.at("name").get<std::string>(),
                             vm.at("data_centre").get<std::string>(),
                             vm.at("control_address").get<std::string>(),
                             vm.at("entry_address").get<std::string>(),
                             state == "departing"});
    }
    return vms;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::optional<std::vector<ListedVm>> ParseVmSetting(std::string_view text) {
  const auto parts = ParseNamedValues(text);
  if (!parts.has_value()) {
    return std::nullopt;
  }
  std::vector<ListedVm> vms;
  for (const auto& [name, value] : *parts) {
    const std::size_t first = value.find('/');
    const std::size_t second = value.find('/', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
      return std::nullopt;
    }
    vms.push_back(ListedVm{name, value.substr(0, first),
                           value.substr(first + 1, second - first - 1),
                           value.substr(second + 1), false});
  }
  return vms;
}

VmList::VmList(std::vector<ListedVm> vms, std::chrono::milliseconds lag)
    : lag(lag), visible(std::move(vms)) {}

void VmList::Replace(std::vector<ListedVm> vms) {
  const std::lock_guard lock(this->mutex);
  this->changes.push_back(
      Change{std::move(vms), this->clock.Now() + this->lag});
}

std::vector<ListedVm> VmList::Visible() {
  const std::lock_guard lock(this->mutex);
  const kernel::Instant now = this->clock.Now();
  while (!this->changes.empty() && this->changes.front().visible_from <= now) {
    this->visible = std::move(this->changes.front().vms);
    this->changes.pop_front();
  }
  return this->visible;
}

}  // namespace laburnumkeel::standins
