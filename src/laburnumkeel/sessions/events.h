#ifndef LABURNUMKEEL_SESSIONS_EVENTS_H_
#define LABURNUMKEEL_SESSIONS_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::sessions {

inline constexpr kernel::EventDefinition kTokenRefused{
    2201, kernel::Severity::kWarning, "session_token_refused",
    "a session token was malformed, forged or issued to another account"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{kTokenRefused};

}  // namespace laburnumkeel::sessions

#endif  // LABURNUMKEEL_SESSIONS_EVENTS_H_
