#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_RETRIER_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_RETRIER_H_

#include "laburnumkeel/endpoints/retry_policy.h"
#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/metrics.h"
#include "programs/laburnumkeel-entry/admission.h"

namespace laburnumkeel::entry {

// Waits between the attempts of a request. Thread-safe.
class Retrier {
 public:
  explicit Retrier(kernel::Metrics& metrics) : metrics(metrics) {}

  // Waits and returns true when the request may be sent again; returns false
  // at once when it may not. `attempts` counts the failed one.
  bool AwaitRetry(const AdmittedRequest& admitted,
                  const endpoints::EndpointError& error, int attempts) const;

 private:
  kernel::Metrics& metrics;
  const kernel::BootClock clock{};
  const endpoints::RetryPolicy policy{endpoints::RetryLimits{}};
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_RETRIER_H_
