#ifndef LABURNUMKEEL_PROMOTION_ABSENCE_EVIDENCE_H_
#define LABURNUMKEEL_PROMOTION_ABSENCE_EVIDENCE_H_

#include <chrono>
#include <compare>
#include <optional>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::promotion {

// What a VM knows of an endpoint whose registration is gone. The missing
// registration and silence prove nothing by themselves: behind a network
// partition an endpoint goes on acknowledging commits together with a primary
// that is on its side.
struct AbsenceEvidence {
  // An endpoint that was silent for this long before a response of the primary
  // has missed several queries that the primary could have answered.
  static constexpr std::chrono::milliseconds kMissingTime{2000};

  // When the endpoint announced that it leaves; empty when it did not.
  std::optional<kernel::Instant> draining_since{};
  // When the first of its unanswered queries timed out; empty when the last one
  // was answered.
  std::optional<kernel::Instant> silent_since{};
  // When this VM sent the newest query that the primary has answered.
  kernel::Instant primary_contact{};

  // True when the endpoint left as announced, at the latest `drain_bound` after
  // it had announced it.
  bool HasLeft(kernel::Instant now, kernel::Duration drain_bound) const {
    return this->draining_since && now >= *this->draining_since + drain_bound;
  }

  // True when the endpoint was missing while the primary still responded, so
  // that the primary had lost it as well before it became unreachable itself.
  bool IsMissing() const {
    return this->silent_since &&
           this->primary_contact >= *this->silent_since + kMissingTime;
  }

  // True when the endpoint acknowledges no commits of the primary any more.
  bool IsAbsent(kernel::Instant now, kernel::Duration drain_bound) const {
    return this->HasLeft(now, drain_bound) || this->IsMissing();
  }

  auto operator<=>(const AbsenceEvidence&) const = default;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_ABSENCE_EVIDENCE_H_
