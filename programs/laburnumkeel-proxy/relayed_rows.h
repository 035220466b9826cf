#ifndef LABURNUMKEEL_PROGRAMS_PROXY_RELAYED_ROWS_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_RELAYED_ROWS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_codec.h"

namespace laburnumkeel::proxy {

// All rows of a table of the store, as one VM passes them on to another one.
// Versions contain the store's era.
struct RelayedRows {
  // The rows are complete as of this version.
  std::uint64_t version = 0;
  // How long before the answer the store was read.
  std::chrono::microseconds age{0};
  std::vector<platform_adapter::StoreRow> rows;

  bool operator==(const RelayedRows&) const = default;
};

// A request for the rows of a table that are complete as of `version` or later.
struct RelayRequest {
  std::string table;
  std::uint64_t version = 0;

  bool operator==(const RelayRequest&) const = default;
};

// The target of a GET request.
std::string EncodeTarget(const RelayRequest& request);
// Empty when the target is not such a request.
std::optional<RelayRequest> DecodeTarget(std::string_view target);

std::string EncodeRelayed(const RelayedRows& rows);
// Empty when the body cannot be read.
std::optional<RelayedRows> DecodeRelayed(std::string_view body);

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_RELAYED_ROWS_H_
