#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_EVENTS_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::admin {

inline constexpr kernel::EventDefinition kChangeRequested{
    6401, kernel::Severity::kInformation, "change_requested",
    "the result of an operator's configuration change"};
inline constexpr kernel::EventDefinition kUnauthorized{
    6402, kernel::Severity::kWarning, "administrator_refused",
    "a request did not contain the administrator secret"};
inline constexpr kernel::EventDefinition kControlUnreachable{
    6403, kernel::Severity::kWarning, "control_unreachable",
    "the control program of this VM gave no usable response"};
inline constexpr kernel::EventDefinition kChangeRepeated{
    6404, kernel::Severity::kInformation, "change_repeated",
    "a change is retried on a newer version or after an unknown result"};

// All events of this program, for the catalogue.
inline constexpr std::array kEvents{kChangeRequested, kUnauthorized,
                                    kControlUnreachable, kChangeRepeated};

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_EVENTS_H_
