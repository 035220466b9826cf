#include "laburnumkeel/platform/vm_list_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace laburnumkeel::platform {

namespace {

using nlohmann::json;

constexpr int kOk = 200;

std::optional<std::vector<ListedVm>> DecodeList(const std::string& body) {
  try {
    std::vector<ListedVm> list;
    for (const json& entry : json::parse(body)) {
      const auto state = entry.at("state").get<std::string>();
      if (state != "live" && state != "departing") {
        return std::nullopt;
      }
      list.push_back(ListedVm{
          entry.at("name").get<std::string>(),
          entry.at("data_centre").get<std::string>(),
          entry.at("control_address").get<std::string>(),
          entry.at("entry_address").get<std::string>(),
          state == "live" ? ListedState::kLive : ListedState::kDeparting});
    }
    return list;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

VmListClient::VmListClient(std::string address, std::string origin,
                           std::chrono::milliseconds timeout)
    : caller(std::move(address), std::move(origin), timeout) {}

kernel::Result<std::vector<ListedVm>, PlatformError> VmListClient::List() {
  const auto response = this->caller.Call("GET", "/vms", "");
  if (!response.has_value()) {
    return PlatformError{PlatformFailure::kUnavailable,
                         response.error().message};
  }
  if (response.value().status != kOk) {
    return UnexpectedStatus(response.value());
  }
  auto list = DecodeList(response.value().body);
  if (!list.has_value()) {
    return PlatformError{PlatformFailure::kInvalidResponse,
                         "the response is not a list of VMs"};
  }
  return std::move(*list);
}

}  // namespace laburnumkeel::platform
