#ifndef LABURNUMKEEL_TESTS_CONFIGURATION_FLAKY_TABLE_H_
#define LABURNUMKEEL_TESTS_CONFIGURATION_FLAKY_TABLE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/platform/table_store.h"
#include "tests/support/fake_table.h"

namespace laburnumkeel::testing {

// The fault injected into one commit.
enum class CommitFault {
  kNone,
  kDown,
  kRequestLost,
  kResponseLost,
  // The request arrives only after a later commit.
  kRequestDelayed,
  // Another operator's change is committed before this one.
  kConcurrentChange,
};

// Table whose commits fail as scripted. Records which transactions took effect.
class FlakyTable {
 public:
  using Outcome =
      kernel::Result<platform::TransactionResult, platform::PlatformError>;

  kernel::Result<platform::TableRow, platform::PlatformError> Read(
      const std::string& key) {
    return this->table.Read(key);
  }

  Outcome Commit(const platform::TableTransaction& transaction) {
    const CommitFault fault = this->NextFault();
    switch (fault) {
      case CommitFault::kDown:
        return platform::PlatformError{platform::PlatformFailure::kUnavailable,
                                       "down"};
      case CommitFault::kRequestDelayed:
        this->delayed.push_back(transaction);
        return Lost();
      case CommitFault::kRequestLost:
        return Lost();
      case CommitFault::kConcurrentChange:
        this->commit_concurrent_change();
        break;
      case CommitFault::kResponseLost:
      case CommitFault::kNone:
        break;
    }
    const auto result = this->Apply(transaction);
    this->DeliverDelayed();
    return fault == CommitFault::kResponseLost ? Outcome(Lost()) : result;
  }

  void DeliverDelayed() {
    for (const auto& transaction : std::exchange(this->delayed, {})) {
      this->Apply(transaction);
    }
  }

  // Faults of the next commits, in reverse order.
  std::vector<CommitFault> faults;
  std::function<void()> commit_concurrent_change = [] {};
  // Operation ids in the order in which they took effect.
  std::vector<std::string> history;

 private:
  static platform::PlatformError Lost() {
    return platform::PlatformError{platform::PlatformFailure::kUnknown, "lost"};
  }

  CommitFault NextFault() {
    if (this->faults.empty()) {
      return CommitFault::kNone;
    }
    const CommitFault fault = this->faults.back();
    this->faults.pop_back();
    return fault;
  }

  platform::TransactionResult Apply(
      const platform::TableTransaction& transaction) {
    const auto result = this->table.Commit(transaction).value();
    if (result.committed) {
      this->history.push_back(transaction.operation_id);
    }
    return result;
  }

  FakeTable table;
  std::vector<platform::TableTransaction> delayed;
};

static_assert(platform::TableStore<FlakyTable>);

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_CONFIGURATION_FLAKY_TABLE_H_
