#ifndef LABURNUMKEEL_MEMBERSHIP_EVENTS_H_
#define LABURNUMKEEL_MEMBERSHIP_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::membership {

inline constexpr kernel::EventDefinition kVmAppeared{
    5201, kernel::Severity::kInformation, "vm_appeared",
    "a VM responded for the first time or again"};
inline constexpr kernel::EventDefinition kVmLost{
    5202, kernel::Severity::kWarning, "vm_lost",
    "a VM has not responded for 4 s; other VMs watch its groups instead"};
inline constexpr kernel::EventDefinition kMajorityLost{
    5203, kernel::Severity::kWarning, "majority_lost",
    "fewer than a majority of data centres are in contact"};
inline constexpr kernel::EventDefinition kMajorityRegained{
    5204, kernel::Severity::kInformation, "majority_regained",
    "a majority of data centres is in contact again"};
inline constexpr kernel::EventDefinition kWatchStarted{
    5205, kernel::Severity::kInformation, "watch_started",
    "this VM became a watcher of a group or changed its rank"};
inline constexpr kernel::EventDefinition kWatchEnded{
    5206, kernel::Severity::kInformation, "watch_ended",
    "this VM is no longer a watcher of a group"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{kVmAppeared,   kVmLost,
                                    kMajorityLost, kMajorityRegained,
                                    kWatchStarted, kWatchEnded};

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_EVENTS_H_
