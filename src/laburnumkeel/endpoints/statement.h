#ifndef LABURNUMKEEL_ENDPOINTS_STATEMENT_H_
#define LABURNUMKEEL_ENDPOINTS_STATEMENT_H_

#include <optional>
#include <string>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::endpoints {

enum class StatementKind { kRead, kWrite };

std::string_view ToString(StatementKind kind);

struct StatementRequest {
  // Unique to each attempt; echoed in the response.
  std::string request_id;
  StatementKind kind = StatementKind::kRead;
  std::string statement;
  // Client account for which the statement runs. Never contains its key.
  std::string account;
  // Chosen by the caller; the same for all attempts of one write.
  std::optional<std::string> idempotency_id;
  // A write is executed only by the primary of this term.
  model::Term term = 0;

  bool operator==(const StatementRequest&) const = default;
};

// Begin, commit or abort of a transaction.
struct TransactionRequest {
  std::string request_id;
  std::string account;
  model::Term term = 0;

  bool operator==(const TransactionRequest&) const = default;
};

struct StatementResult {
  std::string request_id;
  // JSON text; `null` for begin, commit and abort without a result.
  std::string result;
  // For a write, its log entry; for a read, the term of the last applied entry
  // and the applied position.
  model::LogPosition position;

  bool operator==(const StatementResult&) const = default;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_STATEMENT_H_
