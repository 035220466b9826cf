#ifndef LABURNUMKEEL_ENDPOINTS_ACQUIRE_REQUEST_H_
#define LABURNUMKEEL_ENDPOINTS_ACQUIRE_REQUEST_H_

#include <functional>
#include <string>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::endpoints {

enum class LeasePurpose { kStatement, kTransaction };

// A request for a connection from a pool.
struct AcquireRequest {
  std::string account;
  kernel::Instant deadline;
  // Called when the request leaves the queue; the request is refused if it
  // returns false. Checks the key again, because it may have been revoked while
  // the request waited. May be empty.
  std::function<bool()> may_proceed;
  LeasePurpose purpose = LeasePurpose::kStatement;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_ACQUIRE_REQUEST_H_
