#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_ERROR_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_ERROR_H_

#include <chrono>
#include <string>

#include "laburnumkeel/model/outcome.h"

namespace laburnumkeel::entry {

// The error that a caller receives for a failed request. `code` is stable
// across releases; `message` is for humans and may change.
struct CallerError {
  int http_status = 500;
  std::string code;
  std::string message;
  model::Outcome outcome = model::Outcome::kNotRun;
  // When the caller should try again; 0 when nothing is known of it.
  std::chrono::seconds retry_after{0};

  bool operator==(const CallerError&) const = default;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_CALLER_ERROR_H_
