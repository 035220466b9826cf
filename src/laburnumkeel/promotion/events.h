#ifndef LABURNUMKEEL_PROMOTION_EVENTS_H_
#define LABURNUMKEEL_PROMOTION_EVENTS_H_

#include <array>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::promotion {

inline constexpr kernel::EventDefinition kPromotionStarted{
    4001, kernel::Severity::kWarning, "promotion_started",
    "a promoter started to seal a new term"};
inline constexpr kernel::EventDefinition kPromoted{
    4002, kernel::Severity::kWarning, "promoted",
    "an endpoint became the primary of a new term"};
inline constexpr kernel::EventDefinition kPromotionFailed{
    4003, kernel::Severity::kWarning, "promotion_failed",
    "a promotion ended without a confirmed primary"};
inline constexpr kernel::EventDefinition kPrimaryPublished{
    4004, kernel::Severity::kInformation, "primary_published",
    "the primary table holds the new primary or a newer one"};
inline constexpr kernel::EventDefinition kPrimaryNotPublished{
    4005, kernel::Severity::kWarning, "primary_not_published",
    "the primary table could not be written; the write will be retried"};
inline constexpr kernel::EventDefinition kPlannedPromotionStarted{
    4006, kernel::Severity::kInformation, "planned_promotion_started",
    "the primary is drained so that another endpoint can replace it"};
inline constexpr kernel::EventDefinition kTargetBehind{
    4007, kernel::Severity::kWarning, "target_behind",
    "the target did not reach the primary's log end in time; the member with "
    "the greatest log end is promoted"};

// All events of this library, for the catalogue.
inline constexpr std::array kEvents{
    kPromotionStarted,    kPromoted,
    kPromotionFailed,     kPrimaryPublished,
    kPrimaryNotPublished, kPlannedPromotionStarted,
    kTargetBehind};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_EVENTS_H_
