#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_TRANSACTION_PATH_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_TRANSACTION_PATH_H_

#include <map>
#include <mutex>
#include <string>

#include "laburnumkeel/endpoints/transaction_registry.h"
#include "laburnumkeel/model/configuration.h"
#include "programs/laburnumkeel-entry/caller_response.h"
#include "programs/laburnumkeel-entry/write_path.h"

namespace laburnumkeel::entry {

// Serves callers' transactions. Each runs on the primary and occupies one of
// this VM's connections until it ends.
class TransactionPath {
 public:
  TransactionPath(const endpoints::TransactionSettings& settings,
                  const Admission& admission, const GroupDirectory& groups,
                  const sessions::SessionTokenCodec& tokens,
                  const WritePath& writes, const Retrier& retrier);

  transport::HttpResponse Begin(const transport::HttpRequest& request);
  transport::HttpResponse Execute(const transport::HttpRequest& request);
  transport::HttpResponse Commit(const transport::HttpRequest& request);
  transport::HttpResponse Abort(const transport::HttpRequest& request);

  // Aborts transactions whose key is no longer valid, and removes the owners of
  // transactions that have ended.
  void AbortRevoked();

  void RefuseNew() { this->registry.RefuseNew(); }

  // Waits until no transaction is open; returns false after `timeout`.
  bool AwaitAllEnded(std::chrono::milliseconds timeout) const;

 private:
  using Registry = endpoints::TransactionRegistry<kernel::BootClock>;

  // The key that a transaction was begun with, and what it gives access to.
  struct Owner {
    std::string key;
    std::string service;
    std::string account;
  };

  // A transaction that has begun, and the endpoint that it runs on.
  struct RoutedTransaction {
    endpoints::BegunTransaction transaction;
    std::string endpoint;
  };

  // Admits the request, finds its transaction and returns the result of
  // `action(admitted, id, scope)`.
  template <class Action>
  transport::HttpResponse HandleInTransaction(
      const transport::HttpRequest& request, const Action& action);
  // Answers with the new transaction; aborts it when it cannot be answered,
  // as with a session that is too large for a token.
  transport::HttpResponse FinishBegin(const AdmittedRequest& admitted,
                                      const RoutedTransaction& begun);
  // Forgets the owners of transactions that have ended, once a second. Needs
  // the lock.
  void RemoveEndedOwners();
  kernel::Result<RoutedTransaction, endpoints::EndpointError> AttemptBegin(
      const AdmittedRequest& admitted);
  kernel::Result<endpoints::StatementResult, endpoints::EndpointError>
  CommitAndConfirm(const AdmittedRequest& admitted, const std::string& id,
                   const endpoints::TransactionScope& scope);
  transport::HttpResponse MakeSuccessResponse(
      const AdmittedRequest& admitted, const endpoints::StatementResult& result,
      const std::string& endpoint, const std::string& id,
      const sessions::Session& session) const;
  transport::HttpResponse MakeErrorResponse(
      const AdmittedRequest& admitted, const endpoints::EndpointError& error,
      const sessions::Session& session) const;
  std::chrono::milliseconds TimeLeft(const AdmittedRequest& admitted) const;
  void RemoveOwnerIfEnded(const std::string& id, const std::string& account);

  const Admission& admission;
  const GroupDirectory& groups;
  const sessions::SessionTokenCodec& tokens;
  const WritePath& writes;
  const Retrier& retrier;
  const kernel::BootClock clock{};
  std::mutex mutex;
  std::map<std::string, Owner> owners;
  kernel::Instant owners_checked_at{};
  Registry registry;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_TRANSACTION_PATH_H_
