#ifndef LABURNUMKEEL_STATEMENTS_STATEMENT_H_
#define LABURNUMKEEL_STATEMENTS_STATEMENT_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::statements {

enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepare,
  kExecute,
  kDeallocate,
  kMalformed,
};

struct Statement {
  StatementKind kind = StatementKind::kMalformed;
  std::string id;
  // The statement as the client sent it.
  std::string text;
  // Name of the session value or of the prepared statement; else empty.
  std::string name;
  // The session value, the shape of a prepared statement, or the text after the
  // name of an executed one.
  std::string argument;
  // For kPrepare: whether the prepared statement is a write.
  bool is_write = false;

  bool operator==(const Statement&) const = default;
};

enum class TransactionState { kIdle, kOpen, kFailed };

enum class ErrorCode {
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kMisrouted,
  kOverload,
  kUnknown,
  kTimeout,
  kFailed,
  kNoPreparedStatement,
  kMalformed,
  kNoDatabase,
  kDenied,
  // A code unknown to this version; it does not tell whether the statement ran.
  kUnrecognized,
};

// The name of the code in log lines.
std::string_view ToString(ErrorCode code);

// True if an endpoint that responded with the code has not run the statement.
bool IsNotRun(ErrorCode code);

// The complete response of an endpoint to one statement.
struct EndpointReply {
  // Rows as received, each with its line ending.
  std::string rows;
  // Set on success: the endpoint's proof that it ran the statement.
  std::optional<std::string> signature;
  // Meaningful only without a signature.
  ErrorCode error = ErrorCode::kUnrecognized;
  std::string error_text;
  TransactionState state = TransactionState::kIdle;
  // End of the endpoint's log when it responded.
  std::optional<model::LogPosition> position;

  bool operator==(const EndpointReply&) const = default;
};

}  // namespace laburnumkeel::statements

#endif  // LABURNUMKEEL_STATEMENTS_STATEMENT_H_
