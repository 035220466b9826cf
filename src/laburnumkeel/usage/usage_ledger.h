#ifndef LABURNUMKEEL_USAGE_USAGE_LEDGER_H_
#define LABURNUMKEEL_USAGE_USAGE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/usage/usage_part.h"

namespace laburnumkeel::usage {

// The counts of a VM's process, kept until the VM learns that their window is
// settled, so that a successor of the reporter can collect them again.
class UsageLedger {
 public:
  // More windows than a reporter takes to settle one, so that counts outlast
  // several changes of leader.
  static constexpr std::size_t kMaximumWindows = 24;

  explicit UsageLedger(UsageSource own) : own(std::move(own)) {}

  // Counts a statement. Returns false when the window is settled already, or is
  // older than all kMaximumWindows that are kept.
  bool Count(const std::string& account, WindowNumber window);

  // Keeps counts of processes that may never report them again.
  void Adopt(const std::vector<UsagePart>& parts);

  // Counts to report.
  struct Batch {
    std::vector<UsagePart> parts;
    // Number of the last change that it contains.
    std::uint64_t last_change = 0;
    // Further changes did not fit in.
    bool has_more = false;
  };

  // The counts that changed after the change `reported`, the earliest changes
  // first and at most `maximum` counts.
  Batch ChangesSince(std::uint64_t reported, std::size_t maximum) const;

  // Number of the last change.
  std::uint64_t LastChange() const { return this->last_change; }

  // No window up to this one takes counts any more.
  void OnSettled(WindowNumber through);

  // The newest window known to be settled; the lowest number when none is.
  WindowNumber SettledThrough() const { return this->settled_through; }

  // Number of windows with counts.
  std::size_t OpenWindows() const { return this->windows.size(); }

 private:
  struct Entry {
    std::uint64_t count = 0;
    // Number of the change that it was last part of.
    std::uint64_t changed = 0;
  };
  using Entries = std::map<std::pair<UsageSource, std::string>, Entry>;

  // The counts of a window; null when it takes none.
  Entries* Open(WindowNumber window);

  const UsageSource own;
  std::map<WindowNumber, Entries> windows;
  std::uint64_t last_change = 0;
  WindowNumber settled_through = std::numeric_limits<WindowNumber>::min();
};

}  // namespace laburnumkeel::usage

#endif  // LABURNUMKEEL_USAGE_USAGE_LEDGER_H_
