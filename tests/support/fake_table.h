#ifndef LABURNUMKEEL_TESTS_SUPPORT_FAKE_TABLE_H_
#define LABURNUMKEEL_TESTS_SUPPORT_FAKE_TABLE_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "laburnumkeel/platform/table_store.h"

namespace laburnumkeel::testing {

// Simulated fault of the next operations of a `FakeTable`.
enum class TableFault { kNone, kDown, kLoseResponse };

// Table service in memory. Copies are connections to the same rows; each
// connection has its own fault, so that a test can disconnect one VM.
class FakeTable {
 public:
  void SetFault(TableFault new_fault) { this->fault = new_fault; }

  kernel::Result<platform::TableRow, platform::PlatformError> Read(
      const std::string& key) {
    if (this->fault == TableFault::kDown) {
      return platform::PlatformError{platform::PlatformFailure::kUnavailable,
                                     "down"};
    }
    return this->Current(key);
  }

  kernel::Result<platform::TransactionResult, platform::PlatformError> Commit(
      const platform::TableTransaction& transaction) {
    if (this->fault == TableFault::kDown) {
      return platform::PlatformError{platform::PlatformFailure::kUnavailable,
                                     "down"};
    }
    const platform::TransactionResult result = this->Apply(transaction);
    if (this->fault == TableFault::kLoseResponse) {
      return platform::PlatformError{platform::PlatformFailure::kUnknown,
                                     "response lost"};
    }
    return result;
  }

 private:
  platform::TableRow Current(const std::string& key) const {
    const auto row = this->rows->find(key);
    return row == this->rows->end() ? platform::TableRow{key, 0, "", ""}
                                    : row->second;
  }

  platform::TransactionResult Apply(
      const platform::TableTransaction& transaction) {
    const bool committed = std::all_of(
        transaction.conditions.begin(), transaction.conditions.end(),
        [this](const platform::RowCondition& condition) {
          return this->Current(condition.key).version == condition.version;
        });
    if (committed) {
      for (const platform::RowWrite& write : transaction.writes) {
        (*this->rows)[write.key] =
            platform::TableRow{write.key, this->Current(write.key).version + 1,
                               write.value, transaction.operation_id};
      }
    }
    platform::TransactionResult result{committed, {}};
    for (const platform::RowCondition& condition : transaction.conditions) {
      result.rows.push_back(this->Current(condition.key));
    }
    for (const platform::RowWrite& write : transaction.writes) {
      result.rows.push_back(this->Current(write.key));
    }
    return result;
  }

  std::shared_ptr<std::map<std::string, platform::TableRow>> rows =
      std::make_shared<std::map<std::string, platform::TableRow>>();
  TableFault fault = TableFault::kNone;
};

static_assert(platform::TableStore<FakeTable>);

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_FAKE_TABLE_H_
