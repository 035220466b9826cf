#ifndef LABURNUMKEEL_PLATFORM_TABLE_CLIENT_H_
#define LABURNUMKEEL_PLATFORM_TABLE_CLIENT_H_

#include <chrono>
#include <string>

#include "laburnumkeel/platform/platform_caller.h"
#include "laburnumkeel/platform/table_store.h"

namespace laburnumkeel::platform {

// HTTP client of the platform's table service. Each call sends one request,
// because only the caller can decide whether a transaction may be sent again.
// Thread-safe.
class TableClient {
 public:
  // Parameters as in `PlatformCaller`.
  TableClient(std::string address, std::string origin,
              std::chrono::milliseconds timeout);

  // A missing response is kUnavailable, because a read has no effect.
  kernel::Result<TableRow, PlatformError> Read(const std::string& key);

  // kUnknown if the transaction may have been carried out, including after a
  // response that cannot be parsed.
  kernel::Result<TransactionResult, PlatformError> Commit(
      const TableTransaction& transaction);

 private:
  PlatformCaller caller;
};

static_assert(TableStore<TableClient>);

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_TABLE_CLIENT_H_
