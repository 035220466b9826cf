#ifndef LABURNUMKEEL_CONFIGURATION_EVENTS_H_
#define LABURNUMKEEL_CONFIGURATION_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::configuration {

inline constexpr kernel::EventDefinition kVersionInEffect{
    5001, kernel::Severity::kInformation, "configuration_in_effect",
    "a higher configuration version replaced the one held"};
inline constexpr kernel::EventDefinition kChangeAccepted{
    5002, kernel::Severity::kInformation, "configuration_accepted",
    "the store accepted a configuration change"};
inline constexpr kernel::EventDefinition kChangeRefused{
    5003, kernel::Severity::kWarning, "configuration_refused",
    "a configuration change was refused"};
inline constexpr kernel::EventDefinition kFreshnessChanged{
    5004, kernel::Severity::kWarning, "freshness_changed",
    "the reason why requests with keys are served or refused changed"};
inline constexpr kernel::EventDefinition kStoredDocumentUnreadable{
    5005, kernel::Severity::kError, "stored_configuration_unreadable",
    "the configuration row of the store is not a configuration document"};
inline constexpr kernel::EventDefinition kFetchPlanned{
    5006, kernel::Severity::kInformation, "configuration_fetch_planned",
    "a peer announced a higher configuration version, which will be fetched"};

// All events of this library, for the event catalogue.
inline constexpr std::array kEvents{
    kVersionInEffect,  kChangeAccepted,           kChangeRefused,
    kFreshnessChanged, kStoredDocumentUnreadable, kFetchPlanned};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_EVENTS_H_
