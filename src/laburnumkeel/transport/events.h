#ifndef LABURNUMKEEL_TRANSPORT_EVENTS_H_
#define LABURNUMKEEL_TRANSPORT_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::transport {

inline constexpr kernel::EventDefinition kListenFailed{
    1201, kernel::Severity::kError, "listen_failed",
    "the HTTP server could not bind its address"};
inline constexpr kernel::EventDefinition kHandlerFailed{
    1202, kernel::Severity::kError, "handler_failed",
    "a request handler threw an exception; the client received status 500"};

inline constexpr kernel::EventDefinition kLineHandlerFailed{
    1203, kernel::Severity::kError, "line_handler_failed",
    "the handler of a line threw an exception; its connection is closed"};

inline constexpr kernel::EventDefinition kHttpClientLimited{
    1211, kernel::Severity::kWarning, "http_client_limited",
    "an HTTP server refused requests, closed connections or paused accepting; "
    "one line a second and cause, with the count"};
inline constexpr kernel::EventDefinition kHttpAddressInvalid{
    1212, kernel::Severity::kError, "http_address_invalid",
    "the address of an HTTP server is not an IP address and a port from 1 to "
    "65535"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{kListenFailed, kHandlerFailed,
                                    kLineHandlerFailed, kHttpClientLimited,
                                    kHttpAddressInvalid};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_EVENTS_H_
