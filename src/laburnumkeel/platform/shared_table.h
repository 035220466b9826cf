#ifndef LABURNUMKEEL_PLATFORM_SHARED_TABLE_H_
#define LABURNUMKEEL_PLATFORM_SHARED_TABLE_H_

#include <memory>
#include <string>
#include <utility>

#include "laburnumkeel/platform/table_client.h"

namespace laburnumkeel::platform {

// A copyable table client whose copies share the same connections.
class SharedTable {
 public:
  explicit SharedTable(std::shared_ptr<TableClient> client)
      : client(std::move(client)) {}

  kernel::Result<TableRow, PlatformError> Read(const std::string& key) {
    return this->client->Read(key);
  }

  kernel::Result<TransactionResult, PlatformError> Commit(
      const TableTransaction& transaction) {
    return this->client->Commit(transaction);
  }

 private:
  std::shared_ptr<TableClient> client;
};

static_assert(TableStore<SharedTable>);

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_SHARED_TABLE_H_
