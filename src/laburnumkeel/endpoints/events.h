#ifndef LABURNUMKEEL_ENDPOINTS_EVENTS_H_
#define LABURNUMKEEL_ENDPOINTS_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::endpoints {

inline constexpr kernel::EventDefinition kConnectionOpened{
    2001, kernel::Severity::kInformation, "endpoint_connection_opened",
    "a connection to an endpoint was opened and passed its status check"};
inline constexpr kernel::EventDefinition kConnectionOpenFailed{
    2002, kernel::Severity::kWarning, "endpoint_connection_open_failed",
    "a connection to an endpoint could not be opened; the pool retries"};
inline constexpr kernel::EventDefinition kConnectionClosed{
    2003, kernel::Severity::kInformation, "endpoint_connection_closed",
    "a connection to an endpoint was closed for the given reason"};
inline constexpr kernel::EventDefinition kQueueRefusal{
    2004, kernel::Severity::kWarning, "endpoint_queue_refusal",
    "a request was refused before it was given a connection to the endpoint"};
inline constexpr kernel::EventDefinition kPoolWarm{
    2005, kernel::Severity::kInformation, "endpoint_pool_warm",
    "all connections of a pool are open"};
inline constexpr kernel::EventDefinition kRetryDecided{
    2006, kernel::Severity::kInformation, "endpoint_retry_decided",
    "whether a failed attempt is retried, and the reason"};
inline constexpr kernel::EventDefinition kTransactionBegun{
    2007, kernel::Severity::kInformation, "transaction_begun",
    "a transaction was begun and holds a connection until it ends"};
inline constexpr kernel::EventDefinition kTransactionEnded{
    2008, kernel::Severity::kInformation, "transaction_ended",
    "a transaction was committed or aborted by its caller"};
inline constexpr kernel::EventDefinition kTransactionAborted{
    2009, kernel::Severity::kWarning, "transaction_aborted",
    "a transaction was aborted by closing its connection"};
inline constexpr kernel::EventDefinition kStatusFailed{
    2010, kernel::Severity::kWarning, "endpoint_status_failed",
    "the status of an endpoint could not be read; logged once per outage"};
inline constexpr kernel::EventDefinition kStatusRecovered{
    2011, kernel::Severity::kInformation, "endpoint_status_recovered",
    "the status of an endpoint can be read again"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{kConnectionOpened,   kConnectionOpenFailed,
                                    kConnectionClosed,   kQueueRefusal,
                                    kPoolWarm,           kRetryDecided,
                                    kTransactionBegun,   kTransactionEnded,
                                    kTransactionAborted, kStatusFailed,
                                    kStatusRecovered};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_EVENTS_H_
