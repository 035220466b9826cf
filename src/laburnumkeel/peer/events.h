#ifndef LABURNUMKEEL_PEER_EVENTS_H_
#define LABURNUMKEEL_PEER_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::peer {

inline constexpr kernel::EventDefinition kThriftListenFailed{
    5401, kernel::Severity::kError, "thrift_listen_failed",
    "a Thrift server could not bind its address"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{kThriftListenFailed};

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_EVENTS_H_
