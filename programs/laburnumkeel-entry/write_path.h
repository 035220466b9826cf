#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_WRITE_PATH_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_WRITE_PATH_H_

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/routing/write_confirmation.h"
#include "laburnumkeel/routing/write_router.h"
#include "programs/laburnumkeel-entry/admission.h"
#include "programs/laburnumkeel-entry/retrier.h"
#include "programs/laburnumkeel-entry/statement_outcome.h"

namespace laburnumkeel::entry {

// Executes writes on the primary and acknowledges them only when a majority of
// the group has stored them.
class WritePath {
 public:
  WritePath(const Admission& admission, const Retrier& retrier);

  // Until the deadline of the request, retries attempts that did not run and,
  // for repeatable writes, attempts whose outcome is unknown.
  StatementOutcome Execute(const AdmittedRequest& admitted) const;

  // Waits until the write or commit is confirmed, or can no longer be.
  kernel::Result<void, endpoints::EndpointError> AwaitConfirmation(
      const GroupRuntime& group, const std::string& request_id,
      const routing::ExecutedWrite& write) const;

 private:
  kernel::Result<ServedStatement, endpoints::EndpointError> AttemptWrite(
      const AdmittedRequest& admitted, int attempt) const;
  kernel::Result<endpoints::StatementResult, endpoints::EndpointError> Send(
      const AdmittedRequest& admitted, int attempt,
      const routing::WriteTarget& target) const;

  const Admission& admission;
  const Retrier& retrier;
  const kernel::BootClock clock{};
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_WRITE_PATH_H_
