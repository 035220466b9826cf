#ifndef LABURNUMKEEL_USAGE_USAGE_RECORD_H_
#define LABURNUMKEEL_USAGE_USAGE_RECORD_H_

#include <cstdint>
#include <map>

#include "laburnumkeel/usage/usage_part.h"

namespace laburnumkeel::usage {

// What the store holds of usage reports: which windows are settled, and the
// counts of those whose report was not acknowledged when this was written.
struct UsageRecord {
  // The counts of no window up to this one change any more.
  WindowNumber settled_through = 0;
  std::map<WindowNumber, AccountCounts> unacknowledged;
  // Era of the store in which the record was written.
  std::uint64_t store_era = 0;

  // True when the other record says the same, in whatever era.
  bool HasSameContent(const UsageRecord& other) const {
    return this->settled_through == other.settled_through &&
           this->unacknowledged == other.unacknowledged;
  }

  bool operator==(const UsageRecord&) const = default;
};

}  // namespace laburnumkeel::usage

#endif  // LABURNUMKEEL_USAGE_USAGE_RECORD_H_
