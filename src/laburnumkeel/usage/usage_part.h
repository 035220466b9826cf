#ifndef LABURNUMKEEL_USAGE_USAGE_PART_H_
#define LABURNUMKEEL_USAGE_USAGE_PART_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <tuple>

namespace laburnumkeel::usage {

// Number of a window: how many windows lie between the start of 1970 and its
// beginning.
using WindowNumber = std::int64_t;

// Statements that databases began to run, by client account.
using AccountCounts = std::map<std::string, std::uint64_t>;

// Adds without wrapping around.
inline std::uint64_t AddSaturated(std::uint64_t left, std::uint64_t right) {
  const std::uint64_t room = std::numeric_limits<std::uint64_t>::max() - left;
  return left + std::min(room, right);
}

inline std::uint64_t TotalOf(const AccountCounts& counts) {
  std::uint64_t total = 0;
  for (const auto& [account, count] : counts) {
    total = AddSaturated(total, count);
  }
  return total;
}

// A process that counts. A VM that restarts counts from zero under another
// incarnation, so that counts of both processes add up.
struct UsageSource {
  std::string vm;
  std::int64_t incarnation = 0;

  bool operator==(const UsageSource&) const = default;
  bool operator<(const UsageSource& other) const {
    return std::tie(this->vm, this->incarnation) <
           std::tie(other.vm, other.incarnation);
  }
};

// What one process has counted in a window so far. Counts are cumulative: the
// highest one is valid, in whatever order and however often they arrive.
// Accounts whose count has not changed may be left out.
struct UsagePart {
  UsageSource source;
  WindowNumber window = 0;
  AccountCounts counts;

  bool operator==(const UsagePart&) const = default;
};

}  // namespace laburnumkeel::usage

#endif  // LABURNUMKEEL_USAGE_USAGE_PART_H_
