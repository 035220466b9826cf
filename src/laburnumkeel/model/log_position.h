#ifndef LABURNUMKEEL_MODEL_LOG_POSITION_H_
#define LABURNUMKEEL_MODEL_LOG_POSITION_H_

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnumkeel::model {

// Number of a period in which one endpoint of a group is the primary.
using Term = std::uint64_t;

// A place in the log of a database group: the term in which the entry was
// written and its number, counted from 1 over all terms. Two positions are
// comparable by term first, as the ends of two logs are.
struct LogPosition {
  Term term = 0;
  std::uint64_t position = 0;

  // The check takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const LogPosition&) const = default;
};

// Where a term began: `start` is the last position of all earlier terms that
// the first primary of `term` held.
struct TermStart {
  Term term = 0;
  std::uint64_t start = 0;

  auto operator<=>(const TermStart&) const = default;
};

// True when a log that follows `terms` (ascending) contains `position`, given
// that the log is long enough. An entry of an earlier term is part of the log
// only if the log lists that term and each later term began at or after it.
bool IsContained(const LogPosition& position,
                 const std::vector<TermStart>& terms);

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_LOG_POSITION_H_
