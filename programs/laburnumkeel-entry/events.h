#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_EVENTS_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::entry {

inline constexpr kernel::EventDefinition kControlLost{
    6001, kernel::Severity::kWarning, "control_lost",
    "the control program of this VM does not respond; shares and the "
    "freshness proof are not renewed"};
inline constexpr kernel::EventDefinition kControlFound{
    6002, kernel::Severity::kInformation, "control_found",
    "the control program of this VM responds again"};
inline constexpr kernel::EventDefinition kConfigurationApplied{
    6003, kernel::Severity::kInformation, "configuration_applied",
    "a new configuration version was applied"};
inline constexpr kernel::EventDefinition kConfigurationUnreadable{
    6004, kernel::Severity::kError, "configuration_unreadable",
    "the control program sent a configuration that cannot be decoded"};
inline constexpr kernel::EventDefinition kRequestRefused{
    6005, kernel::Severity::kWarning, "request_refused",
    "a caller's request was refused before routing"};
inline constexpr kernel::EventDefinition kRequestFailed{
    6006, kernel::Severity::kWarning, "request_failed",
    "a caller's request failed after admission"};
inline constexpr kernel::EventDefinition kDraining{
    6007, kernel::Severity::kInformation, "draining",
    "the entry program is draining; readiness fails, and new requests are "
    "refused after the grace period"};
inline constexpr kernel::EventDefinition kDrained{
    6008, kernel::Severity::kInformation, "drained",
    "all requests and transactions have ended, or reached their time limit"};

// All events of this program, for the catalogue.
inline constexpr std::array kEvents{kControlLost,
                                    kControlFound,
                                    kConfigurationApplied,
                                    kConfigurationUnreadable,
                                    kRequestRefused,
                                    kRequestFailed,
                                    kDraining,
                                    kDrained};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_EVENTS_H_
