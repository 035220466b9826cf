#include "laburnumkeel/model/outcome.h"

namespace laburnumkeel::model {

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace laburnumkeel::model
