#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_RETRIER_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_RETRIER_H_

#include "laburnumkeel/endpoints/retry_policy.h"
#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/metrics.h"
#include "programs/laburnumkeel-entry/admission.h"

namespace laburnumkeel::entry {

// Decides whether a request is retried and waits between attempts.
// Thread-safe.
class Retrier {
 public:
  explicit Retrier(kernel::Metrics& metrics) : metrics(metrics) {}

  // Waits for the backoff time and returns true if the request may be retried;
  // otherwise returns false at once. `attempts` includes the failed attempt.
  bool AwaitRetry(const AdmittedRequest& admitted,
                  const endpoints::EndpointError& error, int attempts) const;

 private:
  kernel::Metrics& metrics;
  const kernel::BootClock clock{};
  const endpoints::RetryPolicy policy{endpoints::RetryLimits{}};
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_RETRIER_H_
