#ifndef LABURNUMKEEL_PLATFORM_TABLE_CLIENT_H_
#define LABURNUMKEEL_PLATFORM_TABLE_CLIENT_H_

#include <chrono>
#include <string>

#include "laburnumkeel/platform/platform_caller.h"
#include "laburnumkeel/platform/table_store.h"

namespace laburnumkeel::platform {

// The platform's table service over HTTP. Each call sends one request; only
// the caller can decide whether a transaction may be sent again. Thread-safe.
class TableClient {
 public:
  // As of `PlatformCaller`.
  TableClient(std::string address, std::string origin,
              std::chrono::milliseconds timeout);

  // A read has no effect, so a missing response is kUnavailable as well.
  kernel::Result<TableRow, PlatformError> Read(const std::string& key);

  // kUnknown when the transaction may have been carried out, which includes a
  // response that cannot be read.
  kernel::Result<TransactionResult, PlatformError> Commit(
      const TableTransaction& transaction);

 private:
  PlatformCaller caller;
};

static_assert(TableStore<TableClient>);

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_TABLE_CLIENT_H_
