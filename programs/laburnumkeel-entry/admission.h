#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_ADMISSION_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_ADMISSION_H_

#include <memory>
#include <optional>
#include <string>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/limits/account_limiter.h"
#include "laburnumkeel/sessions/session_token.h"
#include "laburnumkeel/transport/http_message.h"
#include "programs/laburnumkeel-entry/access_gate.h"
#include "programs/laburnumkeel-entry/caller_request.h"
#include "programs/laburnumkeel-entry/group_directory.h"

namespace laburnumkeel::entry {

// A request that passed authentication, rate limiting and the session check.
struct AdmittedRequest {
  CallerRequest request;
  std::string service;
  // The caller's key, checked again after waiting. Never sent to an endpoint.
  std::string key;
  std::string account;
  sessions::Session session;
  std::shared_ptr<GroupRuntime> group;
  kernel::Instant deadline;
};

// Checks callers' requests before they are routed.
class Admission {
 public:
  Admission(const AccessGate<kernel::BootClock>& gate,
            limits::AccountLimiter<kernel::BootClock>& limiter,
            const GroupDirectory& groups,
            const sessions::SessionTokenCodec& tokens,
            kernel::Duration request_timeout);

  // Checks key, body, rate, session and group, in this order. `request_id`
  // receives the id for the response; it is set for refused requests as well
  // once the body has been parsed.
  kernel::Result<AdmittedRequest, CallerError> Admit(
      const transport::HttpRequest& request, std::string& request_id) const;

  // Checks key, body, rate and session of a request inside a transaction, whose
  // group is known from the transaction: `group` of the result is null.
  kernel::Result<AdmittedRequest, CallerError> AdmitInTransaction(
      const transport::HttpRequest& request, std::string& request_id) const;

  // True while the caller's key is valid; for requests that have waited.
  bool IsStillAuthorized(const AdmittedRequest& admitted) const;

  // As above, for the key that a transaction was begun with.
  bool IsStillAuthorized(const std::string& key, const std::string& service,
                         const std::string& account) const;

 private:
  kernel::Result<AdmittedRequest, CallerError> AdmitCaller(
      const transport::HttpRequest& request,
      const kernel::Result<AuthorizedCaller, CallerError>& caller,
      std::string& request_id) const;
  // Waits up to a second for a token and returns the error, if any. A VM's
  // bucket holds only a part of the burst, so that without the wait random
  // arrivals within the rate would be refused.
  std::optional<CallerError> AwaitToken(const AuthorizedCaller& caller,
                                        const std::string& key) const;
  kernel::Result<sessions::Session, CallerError> ReadSession(
      const transport::HttpRequest& request, const std::string& account) const;

  const AccessGate<kernel::BootClock>& gate;
  limits::AccountLimiter<kernel::BootClock>& limiter;
  const GroupDirectory& groups;
  const sessions::SessionTokenCodec& tokens;
  const kernel::Duration request_timeout;
  const kernel::BootClock clock{};
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_ADMISSION_H_
