#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_READ_PATH_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_READ_PATH_H_

#include <atomic>
#include <string>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/metrics.h"
#include "laburnumkeel/routing/read_router.h"
#include "programs/laburnumkeel-entry/admission.h"
#include "programs/laburnumkeel-entry/statement_outcome.h"

namespace laburnumkeel::entry {

// Runs reads on the endpoints that the router chooses, replicas first.
class ReadPath {
 public:
  ReadPath(const Admission& admission, std::string data_centre,
           kernel::Metrics& metrics);

  // Tries candidates until one gives a sufficient response, or until the
  // deadline of the request.
  StatementOutcome Execute(const AdmittedRequest& admitted) const;

 private:
  // A response that satisfies the session, or why there is none.
  struct Trial {
    kernel::Result<ServedStatement, CallerError> result;
    // The session when the read succeeded.
    sessions::Session session;
    // No other candidate can do better.
    bool is_final = false;
  };

  Trial Try(const AdmittedRequest& admitted,
            const routing::ReadRequirement& requirement,
            const routing::ReadCandidate& candidate, bool is_last) const;
  kernel::Result<endpoints::StatementResult, endpoints::EndpointError> Send(
      const AdmittedRequest& admitted, const std::string& endpoint,
      bool is_last) const;
  bool AwaitPrimaryConfirmation(const AdmittedRequest& admitted,
                                model::Term term, kernel::Instant began) const;

  const Admission& admission;
  const routing::ReadRouter router;
  kernel::Metrics& metrics;
  const kernel::BootClock clock{};
  mutable std::atomic<std::uint64_t> rotation = 0;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_READ_PATH_H_
