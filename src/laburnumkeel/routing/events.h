#ifndef LABURNUMKEEL_ROUTING_EVENTS_H_
#define LABURNUMKEEL_ROUTING_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::routing {

inline constexpr kernel::EventDefinition kReadRouted{
    2101, kernel::Severity::kInformation, "read_routed",
    "an endpoint was chosen for a read"};
inline constexpr kernel::EventDefinition kReadRefused{
    2102, kernel::Severity::kWarning, "read_refused",
    "no endpoint may serve a read; it was not executed"};
inline constexpr kernel::EventDefinition kWriteRouted{
    2103, kernel::Severity::kInformation, "write_routed",
    "the primary was chosen for a write"};
inline constexpr kernel::EventDefinition kWriteRefused{
    2104, kernel::Severity::kWarning, "write_refused",
    "no primary may receive a write; it was not sent"};
inline constexpr kernel::EventDefinition kReadResponseRejected{
    2105, kernel::Severity::kInformation, "read_response_rejected",
    "a read response does not satisfy its session; the read needs the primary"};
inline constexpr kernel::EventDefinition kWriteUnconfirmed{
    2106, kernel::Severity::kWarning, "write_unconfirmed",
    "an executed write was not acknowledged; its outcome is unknown"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{kReadRouted,           kReadRefused,
                                    kWriteRouted,          kWriteRefused,
                                    kReadResponseRejected, kWriteUnconfirmed};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_EVENTS_H_
