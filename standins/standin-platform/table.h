#ifndef LABURNUMKEEL_STANDINS_PLATFORM_TABLE_H_
#define LABURNUMKEEL_STANDINS_PLATFORM_TABLE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "laburnumkeel/platform/table_store.h"

namespace laburnumkeel::standins {

// The rows of the table service in memory. Thread-safe.
class Table {
 public:
  // Version 0 when the row does not exist.
  platform::TableRow Read(const std::string& key) const;

  // Applies all writes when all conditions hold, and none otherwise. The result
  // has the current rows of all conditions and writes.
  platform::TransactionResult Commit(
      const platform::TableTransaction& transaction);

 private:
  platform::TableRow Current(const std::string& key) const;

  mutable std::mutex mutex;
  std::map<std::string, platform::TableRow> rows;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_PLATFORM_TABLE_H_
