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
// Owners of transactions that reached their time limit stay for as long.
constexpr milliseconds kOwnerCheckInterval{1000};
constexpr int kOk = 200;

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
    const auto begun = this->AttemptBegin(admitted.value());
    if (begun.has_value()) {
      return this->FinishBegin(admitted.value(), begun.value());
    }
    if (!this->retrier.AwaitRetry(admitted.value(), begun.error(), attempts)) {
      return this->MakeErrorResponse(admitted.value(), begun.error(),
                                     admitted.value().session);
    }
  }
}

transport::HttpResponse TransactionPath::FinishBegin(
    const AdmittedRequest& admitted, const RoutedTransaction& begun) {
  const endpoints::BegunTransaction& transaction = begun.transaction;
  const auto response =
      this->MakeSuccessResponse(admitted, transaction.result, begun.endpoint,
                                transaction.id, admitted.session);
  if (response.status != kOk) {
    // The caller does not learn the id, so nobody else could end it.
    (void)this->registry.Abort(transaction.id, admitted.account,
                               "abort-unanswerable-begin", kAbortTimeout);
    return response;
  }
  const std::lock_guard lock(this->mutex);
  this->RemoveEndedOwners();
  this->owners[transaction.id] =
      Owner{admitted.key, admitted.service, admitted.account};
  return response;
}

void TransactionPath::RemoveEndedOwners() {
  const kernel::Instant now = this->clock.Now();
  if (now < this->owners_checked_at + kOwnerCheckInterval) {
    return;
  }
  this->owners_checked_at = now;
  std::erase_if(this->owners, [this](const auto& item) {
    return !this->registry.Find(item.first, item.second.account).has_value();
  });
}

kernel::Result<TransactionPath::RoutedTransaction, endpoints::EndpointError>
TransactionPath::AttemptBegin(const AdmittedRequest& admitted) {
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
  return RoutedTransaction{begun.value(), target.value().endpoint};
}

template <class Action>
transport::HttpResponse TransactionPath::HandleInTransaction(
    const transport::HttpRequest& request, const Action& action) {
  std::string request_id;
  const auto admitted = this->admission.AdmitInTransaction(request, request_id);
  if (!admitted.has_value()) {
    return ToHttpResponse(admitted.error(), request_id, "");
  }
  const AdmittedRequest& value = admitted.value();
  const std::string id = request.Parameter("id");
  const auto scope = this->registry.Find(id, value.account);
  if (!scope.has_value()) {
    return this->MakeErrorResponse(value, scope.error(), value.session);
  }
  return action(value, id, scope.value());
}

transport::HttpResponse TransactionPath::Execute(
    const transport::HttpRequest& request) {
  return this->HandleInTransaction(
      request, [this](const AdmittedRequest& admitted, const std::string& id,
                      const endpoints::TransactionScope& scope) {
        const auto result = this->registry.Execute(
            id, admitted.account,
            endpoints::StatementRequest{
                admitted.request.request_id, endpoints::StatementKind::kWrite,
                admitted.request.statement, admitted.account, std::nullopt,
                scope.term},
            this->TimeLeft(admitted));
        return result.has_value()
                   ? this->MakeSuccessResponse(admitted, result.value(),
                                               scope.endpoint, id,
                                               admitted.session)
                   : this->MakeErrorResponse(admitted, result.error(),
                                             admitted.session);
      });
}

transport::HttpResponse TransactionPath::Commit(
    const transport::HttpRequest& request) {
  return this->HandleInTransaction(
      request, [this](const AdmittedRequest& admitted, const std::string& id,
                      const endpoints::TransactionScope& scope) {
        const auto result = this->CommitAndConfirm(admitted, id, scope);
        this->RemoveOwnerIfEnded(id, admitted.account);
        if (!result.has_value()) {
          const bool may_have_run =
              result.error().outcome == model::Outcome::kUnknown;
          return this->MakeErrorResponse(
              admitted, result.error(),
              may_have_run ? admitted.session.AfterUnknownWrite(
                                 scope.group, kernel::UnixMilliseconds())
                           : admitted.session);
        }
        const auto group = this->groups.Find(scope.service, scope.group);
        const std::vector<model::TermStart> terms =
            group == nullptr ? std::vector<model::TermStart>{}
                             : TermStartsOf(*group->View(), scope.endpoint);
        return this->MakeSuccessResponse(
            admitted, result.value(), scope.endpoint, "",
            admitted.session.AfterWrite(scope.group, result.value().position,
                                        terms));
      });
}

transport::HttpResponse TransactionPath::Abort(
    const transport::HttpRequest& request) {
  return this->HandleInTransaction(
      request, [this](const AdmittedRequest& admitted, const std::string& id,
                      const endpoints::TransactionScope& scope) {
        const auto result = this->registry.Abort(id, admitted.account,
                                                 admitted.request.request_id,
                                                 this->TimeLeft(admitted));
        this->RemoveOwnerIfEnded(id, admitted.account);
        return result.has_value()
                   ? this->MakeSuccessResponse(admitted, result.value(),
                                               scope.endpoint, "",
                                               admitted.session)
                   : this->MakeErrorResponse(admitted, result.error(),
                                             admitted.session);
      });
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

void TransactionPath::AbortRevoked() {
  std::map<std::string, Owner> ended_or_revoked;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, owner] : this->owners) {
      if (!this->registry.Find(id, owner.account).has_value() ||
          !this->admission.IsStillAuthorized(owner.key, owner.service,
                                             owner.account)) {
        ended_or_revoked.emplace(id, owner);
      }
    }
  }
  for (const auto& [id, owner] : ended_or_revoked) {
    // A busy transaction is not aborted; its next statement is refused because
    // of the invalid key.
    (void)this->registry.Abort(id, owner.account, "abort-revoked-key",
                               kAbortTimeout);
    this->RemoveOwnerIfEnded(id, owner.account);
  }
}

bool TransactionPath::AwaitAllEnded(milliseconds timeout) const {
  const kernel::Instant deadline = this->clock.Now() + timeout;
  while (this->registry.Count() > 0) {
    if (this->clock.Now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

transport::HttpResponse TransactionPath::MakeSuccessResponse(
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

transport::HttpResponse TransactionPath::MakeErrorResponse(
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

void TransactionPath::RemoveOwnerIfEnded(const std::string& id,
                                         const std::string& account) {
  // A refused commit leaves the transaction open.
  if (this->registry.Find(id, account).has_value()) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->owners.erase(id);
}

}  // namespace laburnumkeel::entry
