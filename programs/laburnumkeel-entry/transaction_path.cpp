#include "programs/laburnumkeel-entry/transaction_path.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/wall_clock.h"
#include "laburnumkeel/routing/routing_log.h"
#include "programs/laburnumkeel-entry/term_starts.h"

namespace laburnumkeel::entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAbortTimeout{500};
constexpr milliseconds kPollInterval{20};

}  // namespace

TransactionPath::TransactionPath(const endpoints::TransactionSettings& settings,
                                 const Admission& admission,
                                 const GroupDirectory& groups,
                                 const sessions::SessionTokenCodec& tokens,
                                 const WritePath& writes,
                                 const Retrier& retrier)
    : admission(admission),
      groups(groups),
      tokens(tokens),
      writes(writes),
      retrier(retrier),
      registry(settings) {}

transport::HttpResponse TransactionPath::Begin(
    const transport::HttpRequest& request) {
  std::string request_id;
  const auto admitted = this->admission.Admit(request, request_id);
  if (!admitted.has_value()) {
    return ToHttpResponse(admitted.error(), request_id, "");
  }
  for (int attempts = 1;; ++attempts) {
    const auto begun = this->TryBegin(admitted.value());
    if (begun.has_value()) {
      const endpoints::BegunTransaction& transaction =
          begun.value().transaction;
      const std::lock_guard lock(this->mutex);
      this->owners[transaction.id] =
          Owner{admitted.value().key, admitted.value().service,
                admitted.value().account};
      return this->Succeed(admitted.value(), transaction.result,
                           begun.value().endpoint, transaction.id,
                           admitted.value().session);
    }
    if (!this->retrier.AwaitRetry(admitted.value(), begun.error(), attempts)) {
      return this->Fail(admitted.value(), begun.error(),
                        admitted.value().session);
    }
  }
}

kernel::Result<TransactionPath::Begun, endpoints::EndpointError>
TransactionPath::TryBegin(const AdmittedRequest& admitted) {
  const auto view = admitted.group->View();
  const auto target = routing::RouteWrite(*view, this->clock.Now());
  routing::LogWriteDecision(admitted.request.request_id, *view, target);
  if (!target.has_value()) {
    return ToEndpointError(target.error());
  }
  const auto pool = admitted.group->FindPool(target.value().endpoint);
  if (pool == nullptr) {
    return endpoints::NotRun(endpoints::codes::kPoolClosed,
                             "the endpoint left the configuration");
  }
  auto lease = pool->Acquire(endpoints::AcquireRequest{
      admitted.account, admitted.deadline,
      [&] { return this->admission.IsStillAuthorized(admitted); },
      endpoints::LeasePurpose::kTransaction});
  if (!lease.has_value()) {
    return lease.error();
  }
  auto begun = this->registry.Begin(
      endpoints::TransactionScope{admitted.account, admitted.service,
                                  admitted.request.group,
                                  target.value().endpoint, target.value().term},
      admitted.request.request_id, std::move(lease.value()),
      this->TimeLeft(admitted));
  if (!begun.has_value()) {
    return begun.error();
  }
  return Begun{begun.value(), target.value().endpoint};
}

transport::HttpResponse TransactionPath::Execute(
    const transport::HttpRequest& request) {
  std::string request_id;
  const auto admitted = this->admission.AdmitInTransaction(request, request_id);
  if (!admitted.has_value()) {
    return ToHttpResponse(admitted.error(), request_id, "");
  }
  const AdmittedRequest& value = admitted.value();
  const std::string id = request.Parameter("id");
  const auto scope = this->registry.Find(id, value.account);
  if (!scope.has_value()) {
    return this->Fail(value, scope.error(), value.session);
  }
  const auto result = this->registry.Execute(
      id, value.account,
      endpoints::StatementRequest{request_id, endpoints::StatementKind::kWrite,
                                  value.request.statement, value.account,
                                  std::nullopt, scope.value().term},
      this->TimeLeft(value));
  if (!result.has_value()) {
    return this->Fail(value, result.error(), value.session);
  }
  return this->Succeed(value, result.value(), scope.value().endpoint, id,
                       value.session);
}

transport::HttpResponse TransactionPath::Commit(
    const transport::HttpRequest& request) {
  std::string request_id;
  const auto admitted = this->admission.AdmitInTransaction(request, request_id);
  if (!admitted.has_value()) {
    return ToHttpResponse(admitted.error(), request_id, "");
  }
  const AdmittedRequest& value = admitted.value();
  const std::string id = request.Parameter("id");
  const auto scope = this->registry.Find(id, value.account);
  if (!scope.has_value()) {
    return this->Fail(value, scope.error(), value.session);
  }
  const std::string& group = scope.value().group;
  const auto result = this->CommitAndConfirm(value, id, scope.value());
  this->Forget(id);
  if (!result.has_value()) {
    return this->Fail(
        value, result.error(),
        result.error().outcome == model::Outcome::kUnknown
            ? value.session.AfterUnknownWrite(group, kernel::UnixMilliseconds())
            : value.session);
  }
  const auto runtime = this->groups.Find(scope.value().service, group);
  const std::vector<model::TermStart> terms =
      runtime == nullptr
          ? std::vector<model::TermStart>{}
          : TermStartsOf(*runtime->View(), scope.value().endpoint);
  return this->Succeed(
      value, result.value(), scope.value().endpoint, "",
      value.session.AfterWrite(group, result.value().position, terms));
}

kernel::Result<endpoints::StatementResult, endpoints::EndpointError>
TransactionPath::CommitAndConfirm(const AdmittedRequest& admitted,
                                  const std::string& id,
                                  const endpoints::TransactionScope& scope) {
  const kernel::Instant started = this->clock.Now();
  auto result =
      this->registry.Commit(id, admitted.account, admitted.request.request_id,
                            this->TimeLeft(admitted));
  if (!result.has_value()) {
    return result;
  }
  const auto runtime = this->groups.Find(scope.service, scope.group);
  if (runtime == nullptr) {
    return endpoints::Unknown("write_unconfirmed",
                              "the group left the configuration");
  }
  const auto confirmed = this->writes.AwaitConfirmation(
      *runtime, admitted.request.request_id,
      routing::ExecutedWrite{scope.endpoint, result.value().position, started});
  if (!confirmed.has_value()) {
    return confirmed.error();
  }
  return result;
}

transport::HttpResponse TransactionPath::Abort(
    const transport::HttpRequest& request) {
  std::string request_id;
  const auto admitted = this->admission.AdmitInTransaction(request, request_id);
  if (!admitted.has_value()) {
    return ToHttpResponse(admitted.error(), request_id, "");
  }
  const AdmittedRequest& value = admitted.value();
  const std::string id = request.Parameter("id");
  const auto scope = this->registry.Find(id, value.account);
  if (!scope.has_value()) {
    return this->Fail(value, scope.error(), value.session);
  }
  const auto result = this->registry.Abort(id, value.account, request_id,
                                           this->TimeLeft(value));
  this->Forget(id);
  if (!result.has_value()) {
    return this->Fail(value, result.error(), value.session);
  }
  return this->Succeed(value, result.value(), scope.value().endpoint, "",
                       value.session);
}

void TransactionPath::AbortRevoked() {
  std::map<std::string, Owner> revoked;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, owner] : this->owners) {
      if (!this->registry.Find(id, owner.account).has_value() ||
          !this->admission.IsStillAuthorized(owner.key, owner.service,
                                             owner.account)) {
        revoked.emplace(id, owner);
      }
    }
  }
  for (const auto& [id, owner] : revoked) {
    // A busy transaction stays; its next statement is refused for its key.
    (void)this->registry.Abort(id, owner.account, "abort-revoked-key",
                               kAbortTimeout);
    this->Forget(id);
  }
}

bool TransactionPath::AwaitNone(milliseconds timeout) const {
  const kernel::Instant deadline = this->clock.Now() + timeout;
  while (this->registry.Count() > 0) {
    if (this->clock.Now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

transport::HttpResponse TransactionPath::Succeed(
    const AdmittedRequest& admitted, const endpoints::StatementResult& result,
    const std::string& endpoint, const std::string& id,
    const sessions::Session& session) const {
  const auto token = this->tokens.Encode(session);
  if (!token.has_value()) {
    return ToHttpResponse(
        CallerError{500, "session_too_large",
                    "the session spans too many groups for a token",
                    model::Outcome::kDone},
        admitted.request.request_id, "");
  }
  return ToHttpResponse(CallerResult{admitted.request.request_id, result.result,
                                     endpoint, "primary", result.position,
                                     token.value(), id});
}

transport::HttpResponse TransactionPath::Fail(
    const AdmittedRequest& admitted, const endpoints::EndpointError& error,
    const sessions::Session& session) const {
  const auto token = this->tokens.Encode(session);
  return ToHttpResponse(ToCallerError(error), admitted.request.request_id,
                        token.has_value() ? token.value() : "");
}

milliseconds TransactionPath::TimeLeft(const AdmittedRequest& admitted) const {
  return std::chrono::duration_cast<milliseconds>(
      std::max(admitted.deadline - this->clock.Now(), kernel::Duration(0)));
}

void TransactionPath::Forget(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->owners.erase(id);
}

}  // namespace laburnumkeel::entry
