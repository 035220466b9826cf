#ifndef LABURNUMKEEL_MEMBERSHIP_WATCHER_SELECTION_H_
#define LABURNUMKEEL_MEMBERSHIP_WATCHER_SELECTION_H_

#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/membership/vm_record.h"

namespace laburnumkeel::membership {

// Watchers for each data centre and group, so that a group is still watched
// after two VMs of a data centre fail.
inline constexpr std::size_t kWatchersPerDataCentre = 3;

// Names of the VMs that watch the group, by rank: the first
// `kWatchersPerDataCentre` of each data centre in rendezvous order. Departing
// VMs watch only when no others are left.
std::vector<std::string> SelectWatchers(const std::string& group,
                                        const std::vector<VmRecord>& live);

// Rank of the VM among the watchers of the group; empty when it is not one.
std::optional<unsigned> WatcherRank(const std::string& group,
                                    const std::vector<VmRecord>& live,
                                    const std::string& vm);

// The VM of the data centre that polls the store; empty without a live VM.
std::optional<std::string> SelectStorePoller(const std::string& data_centre,
                                             const std::vector<VmRecord>& live);

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_WATCHER_SELECTION_H_
