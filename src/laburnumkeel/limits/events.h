#ifndef LABURNUMKEEL_LIMITS_EVENTS_H_
#define LABURNUMKEEL_LIMITS_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::limits {

inline constexpr kernel::EventDefinition kShareChanged{
    3001, kernel::Severity::kInformation, "share_changed",
    "this VM's share of an account's limit was lowered or raised"};
inline constexpr kernel::EventDefinition kExpiredSharesRemoved{
    3002, kernel::Severity::kWarning, "expired_shares_removed",
    "shares of a VM that no longer renews them were removed from the ledger"};
inline constexpr kernel::EventDefinition kLedgerRoundFailed{
    3003, kernel::Severity::kWarning, "ledger_round_failed",
    "rounds of the share ledger began to fail; dynamic shares will expire"};
inline constexpr kernel::EventDefinition kLedgerRoundRecovered{
    3004, kernel::Severity::kInformation, "ledger_round_recovered",
    "rounds of the share ledger succeed again"};
inline constexpr kernel::EventDefinition kLowerShareUnconfirmed{
    3005, kernel::Severity::kWarning, "lower_share_unconfirmed",
    "the entry program did not confirm a lower share; the ledger keeps the "
    "larger one until it expires"};
inline constexpr kernel::EventDefinition kSharesReleased{
    3006, kernel::Severity::kInformation, "shares_released",
    "this VM released its shares before it stops"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{
    kShareChanged,         kExpiredSharesRemoved,  kLedgerRoundFailed,
    kLedgerRoundRecovered, kLowerShareUnconfirmed, kSharesReleased};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_EVENTS_H_
