#ifndef LABURNUMKEEL_ENDPOINTS_TRANSACTION_TABLE_H_
#define LABURNUMKEEL_ENDPOINTS_TRANSACTION_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "laburnumkeel/endpoints/connection_lease.h"
#include "laburnumkeel/endpoints/endpoint_error.h"
#include "laburnumkeel/endpoints/transaction_scope.h"
#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/result.h"

namespace laburnumkeel::endpoints {

// What a transaction is doing.
enum class TransactionActivity {
  kIdle,
  // Begin, abort or a statement: may be interrupted.
  kStatement,
  // Not interrupted, because that would only lose the outcome.
  kCommit,
};

// How a request leaves a transaction.
enum class TransactionEnd {
  kContinues,
  // The endpoint confirmed the end; the connection returns to the pool.
  kConfirmed,
  // The caller gave it up, but the endpoint did not confirm that.
  kAbandoned,
};

// A transaction and the connection that holds it.
class OpenTransaction {
 public:
  OpenTransaction(TransactionScope scope, ConnectionLease lease,
                  kernel::Instant expires_at)
      : scope(std::move(scope)),
        expires_at(expires_at),
        lease(std::move(lease)) {}

  const TransactionScope scope;
  const kernel::Instant expires_at;

  // For the one user that has taken the transaction.
  EndpointConnection& Connection() { return this->lease.Connection(); }

 private:
  friend class TransactionTable;

  ConnectionLease lease;
  TransactionActivity activity = TransactionActivity::kIdle;
  // Why the transaction ends when its user is done with it; empty if it goes
  // on.
  std::string abort_reason;
};

// The transactions of this process. A transaction is used by one request at a
// time. A transaction that does not end by a commit or an abort ends with its
// connection closed, so that the endpoint aborts it and nobody gets a
// connection with an open transaction from the pool. Thread-safe.
class TransactionTable {
 public:
  using Handle = std::shared_ptr<OpenTransaction>;

  // Adds a transaction that is in use; a `Release` has to follow. Fails with
  // `transactions_closed` after `RefuseNew`.
  kernel::Result<Handle, EndpointError> Add(const std::string& number,
                                            const TransactionScope& scope,
                                            ConnectionLease lease,
                                            kernel::Instant expires_at);

  // Takes a transaction for one request; a `Release` has to follow. Fails with
  // `transaction_unknown`, `transaction_of_other_account` or
  // `transaction_busy`.
  kernel::Result<Handle, EndpointError> Take(const std::string& number,
                                             const std::string& account,
                                             TransactionActivity activity,
                                             kernel::Instant now);

  // Ends the use of a transaction. A transaction whose connection is no longer
  // usable ends too.
  void Release(const std::string& number, const Handle& transaction,
               TransactionEnd end);

  kernel::Result<TransactionScope, EndpointError> Find(
      const std::string& number, const std::string& account,
      kernel::Instant now) const;

  // Each aborts the matching transactions and returns their count.
  std::size_t AbortExpired(kernel::Instant now);
  std::size_t AbortAccount(const std::string& account);
  std::size_t AbortAll();

  void RefuseNew();

  std::size_t Count() const;

 private:
  std::size_t AbortIf(const std::function<bool(const OpenTransaction&)>& chosen,
                      std::string_view reason);
  kernel::Result<Handle, EndpointError> Lookup(const std::string& number,
                                               const std::string& account,
                                               kernel::Instant now) const;

  mutable std::mutex mutex;
  std::map<std::string, Handle> open;
  bool refuses_new = false;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_TRANSACTION_TABLE_H_
