#ifndef LABURNUMKEEL_ENDPOINTS_STATEMENT_H_
#define LABURNUMKEEL_ENDPOINTS_STATEMENT_H_

#include <optional>
#include <string>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::endpoints {

enum class StatementKind { kRead, kWrite };

std::string_view ToString(StatementKind kind);

struct StatementRequest {
  // Unique for each attempt; the endpoint echoes it.
  std::string request_id;
  StatementKind kind = StatementKind::kRead;
  std::string statement;
  // Client account on whose behalf the statement runs. Never its key.
  std::string account;
  // Chosen by the caller; equal for all attempts of one write.
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
  // Of a write: its log entry. Of a read: term of the last applied entry and
  // the applied position.
  model::LogPosition position;

  bool operator==(const StatementResult&) const = default;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_STATEMENT_H_
