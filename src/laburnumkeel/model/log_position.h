#ifndef LABURNUMKEEL_MODEL_LOG_POSITION_H_
#define LABURNUMKEEL_MODEL_LOG_POSITION_H_

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnumkeel::model {

// Number of a period in which one endpoint of a group is the primary.
using Term = std::uint64_t;

// Position of an entry in the log of a database group: the term in which it was
// written and its number, counted from 1 over all terms. Positions, such as the
// ends of two logs, compare by term first.
struct LogPosition {
  Term term = 0;
  std::uint64_t position = 0;

  // clang-tidy takes the 0 of a rewritten comparison for a null pointer.
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

// Returns true when a log with the given `terms` (ascending) contains
// `position`, provided that the log is long enough. The log contains an entry
// of an earlier term only if it lists that term and each later term began at or
// after the entry.
bool IsContained(const LogPosition& position,
                 const std::vector<TermStart>& terms);

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_LOG_POSITION_H_
