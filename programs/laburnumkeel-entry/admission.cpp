#include "programs/laburnumkeel-entry/admission.h"

#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "programs/laburnumkeel-entry/caller_response.h"
#include "programs/laburnumkeel-entry/events.h"

namespace laburnumkeel::entry {

namespace {

CallerError Refuse(const std::string& request_id, const std::string& account,
                   CallerError error) {
  kernel::LogEvent(kRequestRefused, {{"request", request_id},
                                     {"account", account},
                                     {"code", error.code},
                                     {"message", error.message}});
  return error;
}

CallerError RateLimited(limits::LimitReason reason) {
  return CallerError{429, "rate_limited",
                     "the client account is over its rate on this VM: " +
                         std::string(limits::ToString(reason)),
                     model::Outcome::kNotRun};
}

}  // namespace

Admission::Admission(const AccessGate<kernel::BootClock>& gate,
                     limits::AccountLimiter<kernel::BootClock>& limiter,
                     const GroupDirectory& groups,
                     const sessions::SessionTokenCodec& tokens,
                     kernel::Duration request_timeout)
    : gate(gate),
      limiter(limiter),
      groups(groups),
      tokens(tokens),
      request_timeout(request_timeout) {}

kernel::Instant Admission::Deadline() const {
  return this->clock.Now() + this->request_timeout;
}

kernel::Result<CallerRequest, CallerError> Admission::AdmitInTransaction(
    const transport::HttpRequest& request, const std::string& service,
    std::string& account, std::string& request_id) const {
  const auto caller =
      this->gate.Authorize(BearerKey(request.Header("Authorization")), service);
  if (!caller.has_value()) {
    return Refuse(request_id, "", caller.error());
  }
  account = caller.value().account;
  auto parsed = ParseCallerRequest(request.body);
  if (!parsed.has_value()) {
    return Refuse(request_id, account, parsed.error());
  }
  request_id = parsed.value().request_id;
  const limits::LimitDecision limit = this->limiter.TryTake(account);
  if (!limit.is_allowed) {
    return Refuse(request_id, account, RateLimited(limit.reason));
  }
  return parsed;
}

kernel::Result<AdmittedRequest, CallerError> Admission::Admit(
    const transport::HttpRequest& request, std::string& request_id) const {
  const std::string service = request.Parameter("service");
  std::string account;
  const kernel::Instant deadline = this->Deadline();
  const auto parsed =
      this->AdmitInTransaction(request, service, account, request_id);
  if (!parsed.has_value()) {
    return parsed.error();
  }
  const auto session = this->ReadSession(request, account);
  if (!session.has_value()) {
    return Refuse(request_id, account, session.error());
  }
  auto group = this->groups.Find(service, parsed.value().group);
  if (group == nullptr) {
    return Refuse(request_id, account,
                  CallerError{404, "unknown_group",
                              "the service has no group '" +
                                  parsed.value().group + "'",
                              model::Outcome::kNotRun});
  }
  return AdmittedRequest{parsed.value(),
                         service,
                         BearerKey(request.Header("Authorization")),
                         account,
                         session.value(),
                         std::move(group),
                         deadline};
}

kernel::Result<sessions::Session, CallerError> Admission::ReadSession(
    const transport::HttpRequest& request, const std::string& account) const {
  const std::string token = request.Header(kSessionHeader);
  if (token.empty()) {
    return sessions::Session(account);
  }
  auto session = this->tokens.Decode(token, account);
  if (!session.has_value()) {
    return CallerError{
        400,
        "session_" + std::string(sessions::ToString(session.error())),
        "the session token is not valid for this client account",
        model::Outcome::kNotRun};
  }
  return session.value();
}

bool Admission::IsStillAuthorized(const AdmittedRequest& admitted) const {
  return this->gate.IsStillAuthorized(admitted.key, admitted.service,
                                      admitted.account);
}

}  // namespace laburnumkeel::entry
