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
    "the store took a configuration change"};
inline constexpr kernel::EventDefinition kChangeRefused{
    5003, kernel::Severity::kWarning, "configuration_refused",
    "a configuration change was not taken"};
inline constexpr kernel::EventDefinition kFreshnessChanged{
    5004, kernel::Severity::kWarning, "freshness_changed",
    "the reason for serving or refusing requests with keys changed"};
inline constexpr kernel::EventDefinition kStoredDocumentUnreadable{
    5005, kernel::Severity::kError, "stored_configuration_unreadable",
    "the configuration row of the store is not a configuration document"};
inline constexpr kernel::EventDefinition kFetchPlanned{
    5006, kernel::Severity::kInformation, "configuration_fetch_planned",
    "a higher version is known and will be fetched"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{
    kVersionInEffect,  kChangeAccepted,           kChangeRefused,
    kFreshnessChanged, kStoredDocumentUnreadable, kFetchPlanned};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_EVENTS_H_
