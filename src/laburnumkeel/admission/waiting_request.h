#ifndef LABURNUMKEEL_ADMISSION_WAITING_REQUEST_H_
#define LABURNUMKEEL_ADMISSION_WAITING_REQUEST_H_

#include <string>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::admission {

// A request that waits for room: a connection or a slot of an endpoint.
struct WaitingRequest {
  std::string account;
  // 0 is the highest.
  int priority = 0;
  kernel::Instant arrived;
  // A response after this is late.
  kernel::Instant objective;
  // A response after this is not received any more.
  kernel::Instant deadline;
  // The request belongs to an open transaction, which holds a connection.
  bool continues_transaction = false;

  bool operator==(const WaitingRequest&) const = default;
};

// True if a request that needs `expected` for its response receives it before
// its deadline.
inline bool CanAnswer(const WaitingRequest& request, kernel::Instant now,
                      kernel::Duration expected) {
  return now + expected < request.deadline;
}

// True if a request that needs `expected` for its response can only be late.
inline bool IsLate(const WaitingRequest& request, kernel::Instant now,
                   kernel::Duration expected) {
  return now + expected > request.objective;
}

}  // namespace laburnumkeel::admission

#endif  // LABURNUMKEEL_ADMISSION_WAITING_REQUEST_H_
