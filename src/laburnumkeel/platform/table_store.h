#ifndef LABURNUMKEEL_PLATFORM_TABLE_STORE_H_
#define LABURNUMKEEL_PLATFORM_TABLE_STORE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/platform/platform_error.h"

namespace laburnumkeel::platform {

// A row of the table service. Version 0 means that the row does not exist.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  // Id of the transaction that wrote this version.
  std::string operation_id;

  bool operator==(const TableRow&) const = default;
};

// The transaction commits only if the row still has this version.
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;

  bool operator==(const RowCondition&) const = default;
};

struct RowWrite {
  std::string key;
  std::string value;

  bool operator==(const RowWrite&) const = default;
};

struct TableTransaction {
  // Unique. After a lost response, the row's `operation_id` shows whether the
  // transaction took effect.
  std::string operation_id;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;

  bool operator==(const TableTransaction&) const = default;
};

struct TransactionResult {
  bool committed = false;
  // Rows of the conditions and writes, with their state after the transaction.
  std::vector<TableRow> rows;

  bool operator==(const TransactionResult&) const = default;
};

// The platform's transactional table service.
template <class Candidate>
concept TableStore = requires(Candidate& store, const std::string& key,
                              const TableTransaction& transaction) {
  { store.Read(key) } -> std::same_as<kernel::Result<TableRow, PlatformError>>;
  {
    store.Commit(transaction)
    } -> std::same_as<kernel::Result<TransactionResult, PlatformError>>;
};

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_TABLE_STORE_H_
