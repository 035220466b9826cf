#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_EVENTS_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::control {

inline constexpr kernel::EventDefinition kConfigurationAdopted{
    6201, kernel::Severity::kInformation, "configuration_adopted",
    "this VM has adopted a new configuration version"};
inline constexpr kernel::EventDefinition kFetchFailed{
    6202, kernel::Severity::kWarning, "configuration_fetch_failed",
    "the configuration could not be fetched; the other source is tried next"};
inline constexpr kernel::EventDefinition kSubmitRefused{
    6203, kernel::Severity::kWarning, "submit_refused",
    "a configuration change was refused without a request to the store"};
inline constexpr kernel::EventDefinition kSubmitUndistributed{
    6204, kernel::Severity::kError, "submit_undistributed",
    "a change is in the store, but a majority of data centres did not confirm "
    "it in time"};
inline constexpr kernel::EventDefinition kReady{
    6205, kernel::Severity::kInformation, "control_ready",
    "the control program knows the newest configuration"};

// All events of this program, for the catalogue.
inline constexpr std::array kEvents{kConfigurationAdopted, kFetchFailed,
                                    kSubmitRefused, kSubmitUndistributed,
                                    kReady};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_EVENTS_H_
