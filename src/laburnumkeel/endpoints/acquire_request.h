#ifndef LABURNUMKEEL_ENDPOINTS_ACQUIRE_REQUEST_H_
#define LABURNUMKEEL_ENDPOINTS_ACQUIRE_REQUEST_H_

#include <functional>
#include <string>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::endpoints {

enum class LeasePurpose { kStatement, kTransaction };

// A request for a connection of a pool.
struct AcquireRequest {
  std::string account;
  kernel::Instant deadline;
  // Called when the request leaves the queue; false refuses it. Checks the key
  // again, which may have been revoked in the meantime. May be empty.
  std::function<bool()> may_proceed;
  LeasePurpose purpose = LeasePurpose::kStatement;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_ACQUIRE_REQUEST_H_
