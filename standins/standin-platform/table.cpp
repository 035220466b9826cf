#include "standins/standin-platform/table.h"

#include <algorithm>
#include <set>

namespace laburnumkeel::standins {

platform::TableRow Table::Read(const std::string& key) const {
  const std::lock_guard lock(this->mutex);
  return this->Current(key);
}

platform::TransactionResult Table::Commit(
    const platform::TableTransaction& transaction) {
  const std::lock_guard lock(this->mutex);
  std::set<std::string> keys;
  bool committed = true;
  for (const platform::RowCondition& condition : transaction.conditions) {
    keys.insert(condition.key);
    committed =
        committed && this->Current(condition.key).version == condition.version;
  }
  for (const platform::RowWrite& write : transaction.writes) {
    keys.insert(write.key);
    if (committed) {
      this->rows[write.key] =
          platform::TableRow{write.key, this->Current(write.key).version + 1,
                             write.value, transaction.operation_id};
    }
  }
  platform::TransactionResult result{committed, {}};
  for (const std::string& key : keys) {
    result.rows.push_back(this->Current(key));
  }
  return result;
}

platform::TableRow Table::Current(const std::string& key) const {
  const auto row = this->rows.find(key);
  return row == this->rows.end() ? platform::TableRow{key, 0, "", ""}
                                 : row->second;
}

}  // namespace laburnumkeel::standins
