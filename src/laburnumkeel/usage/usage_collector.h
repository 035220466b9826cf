#ifndef LABURNUMKEEL_USAGE_USAGE_COLLECTOR_H_
#define LABURNUMKEEL_USAGE_USAGE_COLLECTOR_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/usage/usage_part.h"

namespace laburnumkeel::usage {

// Why a partial count was not taken.
enum class UsageRefusal { kSettled, kFuture, kPast, kImplausible, kTooMany };

// The name in log lines.
std::string_view ToString(UsageRefusal refusal);

// A partial count, or one account of it, that was not taken. The rest of the
// report is.
struct RefusedUsage {
  UsageSource source;
  WindowNumber window = 0;
  // Empty when the whole part was refused.
  std::string account;
  UsageRefusal refusal = UsageRefusal::kSettled;

  bool operator==(const RefusedUsage&) const = default;
};

// The partial counts of all VMs, on the reporter.
class UsageCollector {
 public:
  // Windows around the present one that are taken. Times of VMs differ by far
  // less than a window.
  static constexpr WindowNumber kMaximumFuture = 2;
  static constexpr WindowNumber kMaximumPast = 24;
  // No VM runs so many statements in a window.
  static constexpr std::uint64_t kMaximumCount = 1'000'000'000'000;
  // Bounds memory against VMs that name ever new accounts or incarnations.
  static constexpr std::size_t kMaximumEntries = 500'000;

  // Takes the counts of a part; returns what was refused.
  std::vector<RefusedUsage> Merge(const UsagePart& part, WindowNumber current);

  // A VM has reported everything that it has counted so far.
  void OnHeard(const UsageSource& source, kernel::Instant now);

  // A VM stops and has reported everything.
  void OnLeft(const std::string& vm) { this->processes.erase(vm); }

  // No window up to this one takes counts any more.
  void OnSettled(WindowNumber through);

  // The counts of all processes. Other accounts than `known_accounts` are left
  // out and added to `unknown_accounts`.
  AccountCounts Total(WindowNumber window,
                      const std::set<std::string>& known_accounts,
                      std::set<std::string>& unknown_accounts) const;

  // The earliest window with counts; empty when there are none.
  std::optional<WindowNumber> EarliestWindow() const;

  // When a VM last reported everything; empty if it never did.
  std::optional<kernel::Instant> LastHeard(const std::string& vm) const;

  // The counts of processes that are not heard of any more, or that have been
  // replaced by another process on their VM.
  std::vector<UsagePart> PartsOfSilentProcesses(kernel::Instant since) const;

 private:
  struct Process {
    UsageSource source;
    kernel::Instant heard;
  };

  std::map<WindowNumber, std::map<UsageSource, AccountCounts>> windows;
  // The newest process of each VM.
  std::map<std::string, Process> processes;
  std::size_t entries = 0;
  WindowNumber settled_through = std::numeric_limits<WindowNumber>::min();
};

}  // namespace laburnumkeel::usage

#endif  // LABURNUMKEEL_USAGE_USAGE_COLLECTOR_H_
