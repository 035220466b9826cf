#ifndef LABURNUMKEEL_PLATFORM_EVENTS_H_
#define LABURNUMKEEL_PLATFORM_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::platform {

inline constexpr kernel::EventDefinition kCallFailed{
    1101, kernel::Severity::kWarning, "platform_call_failed",
    "a request to the platform received no usable response"};
inline constexpr kernel::EventDefinition kCommitReadBack{
    1102, kernel::Severity::kInformation, "commit_read_back",
    "the response to a table transaction was lost and its result was read "
    "back"};

// All events of this library, for the event catalogue.
inline constexpr std::array kEvents{kCallFailed, kCommitReadBack};

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_EVENTS_H_
