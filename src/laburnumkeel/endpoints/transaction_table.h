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

// The request that currently uses a transaction.
enum class TransactionActivity {
  kIdle,
  // Begin, abort or a statement. Interrupted when the transaction is aborted.
  kStatement,
  // Not interrupted: the commit may take effect anyway, and its outcome would
  // be lost.
  kCommit,
};

// State of a transaction after a request.
enum class TransactionEnd {
  kContinues,
  // The endpoint confirmed the end; the connection returns to the pool.
  kConfirmed,
  // The transaction is given up, but the endpoint did not confirm its end.
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

  // Only for the request that has taken the transaction.
  EndpointConnection& Connection() { return this->lease.Connection(); }

 private:
  friend class TransactionTable;

  ConnectionLease lease;
  TransactionActivity activity = TransactionActivity::kIdle;
  // Why the transaction is aborted once the current request releases it; empty
  // if it is not.
  std::string abort_reason;
};

// The transactions of this process. A transaction is used by one request at a
// time. If a transaction ends without a confirmed commit or abort, its
// connection is closed, so that the endpoint aborts the transaction and no
// connection with an open transaction returns to the pool. Thread-safe.
class TransactionTable {
 public:
  using Handle = std::shared_ptr<OpenTransaction>;

  // Adds a transaction that is in use; `Release` must be called. Fails with
  // `transactions_closed` after `RefuseNew`.
  kernel::Result<Handle, EndpointError> Add(const std::string& local_id,
                                            const TransactionScope& scope,
                                            ConnectionLease lease,
                                            kernel::Instant expires_at);

  // Takes a transaction for one request; `Release` must be called. Fails with
  // `transaction_unknown`, `transaction_of_other_account` or
  // `transaction_busy`.
  kernel::Result<Handle, EndpointError> Take(const std::string& local_id,
                                             const std::string& account,
                                             TransactionActivity activity,
                                             kernel::Instant now);

  // Ends the use of a transaction by a request. The transaction also ends if
  // its connection is no longer usable.
  void Release(const std::string& local_id, const Handle& transaction,
               TransactionEnd end);

  kernel::Result<TransactionScope, EndpointError> Find(
      const std::string& local_id, const std::string& account,
      kernel::Instant now) const;

  // These abort the matching transactions and return their number.
  std::size_t AbortExpired(kernel::Instant now);
  std::size_t AbortAccount(const std::string& account);
  std::size_t AbortAll();

  void RefuseNew();

  std::size_t Count() const;

 private:
  std::size_t AbortIf(
      const std::function<bool(const OpenTransaction&)>& matches,
      std::string_view reason);
  kernel::Result<Handle, EndpointError> Lookup(const std::string& local_id,
                                               const std::string& account,
                                               kernel::Instant now) const;

  mutable std::mutex mutex;
  std::map<std::string, Handle> open;
  bool refuses_new = false;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_TRANSACTION_TABLE_H_
