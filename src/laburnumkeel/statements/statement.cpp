#include "laburnumkeel/statements/statement.h"

namespace laburnumkeel::statements {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBusy:
      return "busy";
    case ErrorCode::kAborted:
      return "aborted";
    case ErrorCode::kLagging:
      return "lagging";
    case ErrorCode::kReadOnly:
      return "read_only";
    case ErrorCode::kMisrouted:
      return "misrouted";
    case ErrorCode::kOverload:
      return "overload";
    case ErrorCode::kUnknown:
      return "unknown";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kFailed:
      return "failed";
    case ErrorCode::kNoPreparedStatement:
      return "no_prepared_statement";
    case ErrorCode::kMalformed:
      return "malformed";
    case ErrorCode::kNoDatabase:
      return "no_database";
    case ErrorCode::kDenied:
      return "denied";
    case ErrorCode::kUnrecognized:
      return "unrecognized";
  }
  return "unrecognized";
}

bool IsNotRun(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBusy:
    case ErrorCode::kLagging:
    case ErrorCode::kReadOnly:
    case ErrorCode::kMisrouted:
    case ErrorCode::kOverload:
    case ErrorCode::kNoPreparedStatement:
      return true;
    default:
      return false;
  }
}

}  // namespace laburnumkeel::statements
