#include "laburnumkeel/endpoints/statement.h"

namespace laburnumkeel::endpoints {

std::string_view ToString(StatementKind kind) {
  return kind == StatementKind::kRead ? "read" : "write";
}

}  // namespace laburnumkeel::endpoints
