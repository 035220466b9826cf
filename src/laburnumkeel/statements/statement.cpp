#include "laburnumkeel/statements/statement.h"

namespace laburnumkeel::statements {

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
