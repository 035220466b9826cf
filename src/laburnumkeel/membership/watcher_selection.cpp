#include "laburnumkeel/membership/watcher_selection.h"

#include <algorithm>
#include <map>

#include "laburnumkeel/membership/rendezvous.h"

namespace laburnumkeel::membership {

namespace {

// Names of the VMs to choose from, by data centre.
std::map<std::string, std::vector<std::string>> ByDataCentre(
    const std::vector<VmRecord>& live) {
  const bool all_departing =
      std::all_of(live.begin(), live.end(),
                  [](const VmRecord& vm) { return vm.departing; });
  std::map<std::string, std::vector<std::string>> names;
  for (const VmRecord& vm : live) {
    if (!vm.departing || all_departing) {
      names[vm.data_centre].push_back(vm.name);
    }
  }
  return names;
}

}  // namespace

std::vector<std::string> SelectWatchers(const std::string& group,
                                        const std::vector<VmRecord>& live) {
  std::vector<std::string> watchers;
  for (const auto& [data_centre, names] : ByDataCentre(live)) {
    const std::vector<std::string> order = RendezvousOrder(group, names);
    const auto count = static_cast<std::ptrdiff_t>(
        std::min(order.size(), kWatchersPerDataCentre));
    watchers.insert(watchers.end(), order.begin(), order.begin() + count);
  }
  return RendezvousOrder(group, watchers);
}

std::optional<unsigned> WatcherRank(const std::string& group,
                                    const std::vector<VmRecord>& live,
                                    const std::string& vm) {
  const std::vector<std::string> watchers = SelectWatchers(group, live);
  const auto place = std::find(watchers.begin(), watchers.end(), vm);
  if (place == watchers.end()) {
    return std::nullopt;
  }
  return static_cast<unsigned>(place - watchers.begin());
}

std::optional<std::string> SelectStorePoller(
    const std::string& data_centre, const std::vector<VmRecord>& live) {
  const auto names = ByDataCentre(live);
  const auto own = names.find(data_centre);
  if (own == names.end()) {
    return std::nullopt;
  }
  return RendezvousOrder("store/" + data_centre, own->second).front();
}

}  // namespace laburnumkeel::membership
