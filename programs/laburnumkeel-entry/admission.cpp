#include "programs/laburnumkeel-entry/admission.h"

#include <thread>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "programs/laburnumkeel-entry/caller_response.h"
#include "programs/laburnumkeel-entry/events.h"
#include "programs/laburnumkeel-entry/refusal_budget.h"

namespace laburnumkeel::entry {

namespace {

// Logs the refusal of a request and returns its error.
CallerError LogRefusal(const std::string& request_id,
                       const std::string& account, CallerError error) {
  static RefusalBudget budget;
  if (const auto omitted = budget.Take()) {
    kernel::LogEvent(kRequestRefused, {{"request", request_id},
                                       {"account", account},
                                       {"code", error.code},
                                       {"message", error.message},
                                       {"omitted_before", *omitted}});
  }
  return error;
}

CallerError RateLimitedError(limits::LimitReason reason) {
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

kernel::Result<AdmittedRequest, CallerError> Admission::Admit(
    const transport::HttpRequest& request, std::string& request_id) const {
  const std::string service = request.Parameter("service");
  auto admitted = this->AdmitCaller(
      request,
      this->gate.Authorize(BearerKey(request.Header("Authorization")), service),
      request_id);
  if (!admitted.has_value()) {
    return admitted;
  }
  AdmittedRequest& value = admitted.value();
  value.group = this->groups.Find(service, value.request.group);
  if (value.group == nullptr) {
    return LogRefusal(
        request_id, value.account,
        CallerError{404, "unknown_group",
                    "the service has no group '" + value.request.group + "'",
                    model::Outcome::kNotRun});
  }
  return admitted;
}

kernel::Result<AdmittedRequest, CallerError> Admission::AdmitInTransaction(
    const transport::HttpRequest& request, std::string& request_id) const {
  return this->AdmitCaller(
      request, this->gate.Authorize(BearerKey(request.Header("Authorization"))),
      request_id);
}

kernel::Result<AdmittedRequest, CallerError> Admission::AdmitCaller(
    const transport::HttpRequest& request,
    const kernel::Result<AuthorizedCaller, CallerError>& caller,
    std::string& request_id) const {
  const kernel::Instant deadline = this->clock.Now() + this->request_timeout;
  if (!caller.has_value()) {
    return LogRefusal(request_id, "", caller.error());
  }
  const std::string& account = caller.value().account;
  const auto parsed = ParseCallerRequest(request.body);
  if (!parsed.has_value()) {
    return LogRefusal(request_id, account, parsed.error());
  }
  request_id = parsed.value().request_id;
  const std::string key = BearerKey(request.Header("Authorization"));
  if (auto refused = this->AwaitToken(caller.value(), key)) {
    return LogRefusal(request_id, account, std::move(*refused));
  }
  const auto session = this->ReadSession(request, account);
  if (!session.has_value()) {
    return LogRefusal(request_id, account, session.error());
  }
  return AdmittedRequest{parsed.value(), caller.value().service, key,
                         account,        session.value(),        nullptr,
                         deadline};
}

std::optional<CallerError> Admission::AwaitToken(const AuthorizedCaller& caller,
                                                 const std::string& key) const {
  const kernel::Instant started = this->clock.Now();
  limits::LimitDecision decision = this->limiter.TakeOrWait(caller.account);
  bool has_waited = false;
  while (!decision.is_allowed && decision.retry_after > kernel::Duration(0)) {
    has_waited = true;
    std::this_thread::sleep_for(decision.retry_after);
    decision = this->limiter.Retry(caller.account, this->clock.Now() - started);
  }
  if (!decision.is_allowed) {
    return RateLimitedError(decision.reason);
  }
  // The key may have been revoked during the wait.
  if (has_waited &&
      !this->IsStillAuthorized(key, caller.service, caller.account)) {
    return CallerError{401, "unknown_key", "the key is missing or not valid",
                       model::Outcome::kNotRun};
  }
  return std::nullopt;
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
        400, "session_" + std::string(sessions::ToString(session.error())),
        "the session token is not valid for this client account",
        model::Outcome::kNotRun};
  }
  return session.value();
}

bool Admission::IsStillAuthorized(const AdmittedRequest& admitted) const {
  return this->IsStillAuthorized(admitted.key, admitted.service,
                                 admitted.account);
}

bool Admission::IsStillAuthorized(const std::string& key,
                                  const std::string& service,
                                  const std::string& account) const {
  return this->gate.IsStillAuthorized(key, service, account);
}

}  // namespace laburnumkeel::entry
