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

// Executes reads on the endpoints that the router selects, replicas first.
class ReadPath {
 public:
  ReadPath(const Admission& admission, std::string data_centre,
           kernel::Metrics& metrics);

  // Tries candidates until one returns a response that satisfies the session,
  // or until the deadline of the request.
  StatementOutcome Execute(const AdmittedRequest& admitted) const;

 private:
  // The result of a read on one candidate: a response that satisfies the
  // session, or the error.
  struct ReadAttempt {
    kernel::Result<ServedStatement, CallerError> result;
    // Updated if the read succeeded, otherwise unchanged.
    sessions::Session session;
    // True if no other candidate can give a better result.
    bool is_final = false;
  };

  ReadAttempt AttemptRead(const AdmittedRequest& admitted,
                          const routing::ReadRequirement& requirement,
                          const routing::ReadCandidate& candidate,
                          bool is_last) const;
  kernel::Result<endpoints::StatementResult, endpoints::EndpointError> Send(
      const AdmittedRequest& admitted, const std::string& endpoint,
      bool is_last) const;
  bool AwaitPrimaryConfirmation(const AdmittedRequest& admitted,
                                model::Term term,
                                kernel::Instant started) const;

  const Admission& admission;
  const routing::ReadRouter router;
  kernel::Metrics& metrics;
  const kernel::BootClock clock{};
  mutable std::atomic<std::uint64_t> rotation = 0;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_READ_PATH_H_
