#ifndef LABURNUMKEEL_ENDPOINTS_TRANSACTION_REGISTRY_H_
#define LABURNUMKEEL_ENDPOINTS_TRANSACTION_REGISTRY_H_

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "laburnumkeel/endpoints/connection_lease.h"
#include "laburnumkeel/endpoints/events.h"
#include "laburnumkeel/endpoints/transaction_id.h"
#include "laburnumkeel/endpoints/transaction_table.h"
#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/random_identifier.h"

namespace laburnumkeel::endpoints {

struct TransactionSettings {
  std::string vm;
  // Differs between two processes of the same VM.
  std::string incarnation;
  // The fleet secret, which signs transaction ids.
  std::string secret;
  kernel::Duration time_limit = std::chrono::seconds(10);

  bool operator==(const TransactionSettings&) const = default;
};

struct BegunTransaction {
  std::string id;
  StatementResult result;

  bool operator==(const BegunTransaction&) const = default;
};

// The open transactions of this VM. Each transaction holds the lease of its
// connection from begin to commit or abort, at most for the time limit.
// Thread-safe.
template <kernel::Clock ClockType = kernel::BootClock>
class TransactionRegistry {
 public:
  using StatementOutcome = kernel::Result<StatementResult, EndpointError>;

  explicit TransactionRegistry(const TransactionSettings& settings,
                               ClockType clock = ClockType())
      : settings(settings),
        ids(settings.secret),
        clock(std::move(clock)),
        expiry_thread([this] { this->RunExpiry(); }) {}
  ~TransactionRegistry() { this->Close(); }
  TransactionRegistry(const TransactionRegistry&) = delete;
  TransactionRegistry& operator=(const TransactionRegistry&) = delete;

  // Begins a transaction on a connection acquired for
  // `LeasePurpose::kTransaction`. `timeout` applies to the call to the
  // endpoint.
  kernel::Result<BegunTransaction, EndpointError> Begin(
      const TransactionScope& scope, const std::string& request_id,
      ConnectionLease lease, std::chrono::milliseconds timeout) {
    const std::string local_id = kernel::RandomIdentifier();
    auto added = this->table.Add(local_id, scope, std::move(lease),
                                 this->clock.Now() + this->settings.time_limit);
    if (!added.has_value()) {
      return added.error();
    }
    OpenTransaction& transaction = *added.value();
    auto result = transaction.Connection().Begin(
        TransactionRequest{request_id, scope.account, scope.term},
        this->RemainingTime(transaction, timeout));
    if (!result.has_value()) {
      // After a refusal no transaction is open, so the connection can return to
      // the pool.
      this->table.Release(local_id, added.value(),
                          result.error().outcome == model::Outcome::kNotRun
                              ? TransactionEnd::kConfirmed
                              : TransactionEnd::kAbandoned);
      return result.error();
    }
    this->table.Release(local_id, added.value(), TransactionEnd::kContinues);
    const std::string id = this->ids.Encode(
        TransactionId{this->settings.vm, this->settings.incarnation, local_id},
        scope.account);
    kernel::LogEvent(kTransactionBegun, {{"account", scope.account},
                                         {"group", scope.group},
                                         {"endpoint", scope.endpoint},
                                         {"request_id", request_id}});
    return BegunTransaction{id, std::move(result.value())};
  }

  // Where the transaction runs.
  kernel::Result<TransactionScope, EndpointError> Find(
      const std::string& id, const std::string& account) const {
    const auto local_id = this->ResolveId(id, account);
    if (!local_id.has_value()) {
      return local_id.error();
    }
    return this->table.Find(local_id.value(), account, this->clock.Now());
  }

  // Runs a statement in the transaction. The account and term of the
  // transaction replace those of the request.
  StatementOutcome Execute(const std::string& id, const std::string& account,
                           const StatementRequest& request,
                           std::chrono::milliseconds timeout) {
    return this->RunCall(
        id, account, kStatementCall, timeout,
        [&request](OpenTransaction& transaction,
                   std::chrono::milliseconds time_left) {
          return transaction.Connection().Execute(
              StatementRequest{request.request_id, request.kind,
                               request.statement, transaction.scope.account,
                               request.idempotency_id, transaction.scope.term},
              time_left);
        });
  }

  // Fails with outcome `unknown` if the response to the commit was lost.
  StatementOutcome Commit(const std::string& id, const std::string& account,
                          const std::string& request_id,
                          std::chrono::milliseconds timeout) {
    return this->RunCall(id, account, kCommitCall, timeout,
                         [&request_id](OpenTransaction& transaction,
                                       std::chrono::milliseconds time_left) {
                           return transaction.Connection().Commit(
                               EndRequest(transaction, request_id), time_left);
                         });
  }

  // Always ends the transaction: if the endpoint does not confirm the abort,
  // the connection is closed.
  StatementOutcome Abort(const std::string& id, const std::string& account,
                         const std::string& request_id,
                         std::chrono::milliseconds timeout) {
    return this->RunCall(id, account, kAbortCall, timeout,
                         [&request_id](OpenTransaction& transaction,
                                       std::chrono::milliseconds time_left) {
                           return transaction.Connection().Abort(
                               EndRequest(transaction, request_id), time_left);
                         });
  }

  // Aborts the transactions of an account whose access was revoked. Statements
  // in progress fail with outcome `unknown`; a commit in progress is completed.
  // Returns the number of transactions.
  std::size_t AbortAccount(const std::string& account) {
    return this->table.AbortAccount(account);
  }

  // Like `AbortAccount`, for all accounts.
  std::size_t AbortAll() { return this->table.AbortAll(); }

  // Refuses new transactions, for a graceful shutdown.
  void RefuseNew() { this->table.RefuseNew(); }

  std::size_t Count() const { return this->table.Count(); }

  // Refuses new transactions and aborts the open ones. A second call does
  // nothing.
  void Close() {
    this->table.RefuseNew();
    {
      const std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->close_signal.notify_all();
    if (this->expiry_thread.joinable()) {
      this->expiry_thread.join();
    }
    this->table.AbortAll();
  }

 private:
  // What a kind of call does to its transaction.
  struct CallKind {
    TransactionActivity activity;
    TransactionEnd after_success;
    TransactionEnd after_failure;
  };

  static constexpr CallKind kStatementCall{TransactionActivity::kStatement,
                                           TransactionEnd::kContinues,
                                           TransactionEnd::kContinues};
  static constexpr CallKind kCommitCall{TransactionActivity::kCommit,
                                        TransactionEnd::kConfirmed,
                                        TransactionEnd::kContinues};
  static constexpr CallKind kAbortCall{TransactionActivity::kStatement,
                                       TransactionEnd::kConfirmed,
                                       TransactionEnd::kAbandoned};

  // A transaction exceeds its time limit by at most this interval.
  static constexpr std::chrono::milliseconds kExpiryCheckInterval{100};

  static TransactionRequest EndRequest(const OpenTransaction& transaction,
                                       const std::string& request_id) {
    return TransactionRequest{request_id, transaction.scope.account,
                              transaction.scope.term};
  }

  template <class Call>
  StatementOutcome RunCall(const std::string& id, const std::string& account,
                           const CallKind& call_kind,
                           std::chrono::milliseconds timeout,
                           const Call& call) {
    const auto local_id = this->ResolveId(id, account);
    if (!local_id.has_value()) {
      return local_id.error();
    }
    const auto taken = this->table.Take(local_id.value(), account,
                                        call_kind.activity, this->clock.Now());
    if (!taken.has_value()) {
      return taken.error();
    }
    auto result =
        call(*taken.value(), this->RemainingTime(*taken.value(), timeout));
    this->table.Release(
        local_id.value(), taken.value(),
        result.has_value() ? call_kind.after_success : call_kind.after_failure);
    if (result.has_value() &&
        call_kind.after_success == TransactionEnd::kConfirmed) {
      kernel::LogEvent(kTransactionEnded,
                       {{"account", account},
                        {"group", taken.value()->scope.group},
                        {"endpoint", taken.value()->scope.endpoint},
                        {"request_id", result.value().request_id}});
    }
    return result;
  }

  // Checks the id and returns its `local_id` if the transaction belongs to this
  // process.
  kernel::Result<std::string, EndpointError> ResolveId(
      const std::string& id, const std::string& account) const {
    const auto decoded = this->ids.Decode(id);
    const bool is_signed = this->ids.IsIssuedTo(id, account);
    if (decoded.has_value() && decoded->vm == this->settings.vm &&
        decoded->incarnation == this->settings.incarnation) {
      const auto scope =
          this->table.Find(decoded->local_id, account, this->clock.Now());
      // The transaction is open here but belongs to another account; the table
      // then refuses the request with the more precise error.
      if (is_signed ||
          (!scope.has_value() &&
           scope.error().code == codes::kTransactionOfOtherAccount)) {
        return decoded->local_id;
      }
    }
    if (!is_signed) {
      return NotRun(codes::kTransactionUnknown,
                    "the transaction id was not issued to this account");
    }
    if (decoded->vm != this->settings.vm) {
      return NotRun(codes::kTransactionNotOnThisVm,
                    "the transaction runs on VM " + decoded->vm +
                        "; this is VM " + this->settings.vm);
    }
    return NotRun(codes::kTransactionUnknown,
                  "the VM was restarted since the transaction began; an "
                  "earlier outcome of its commit still holds");
  }

  std::chrono::milliseconds RemainingTime(
      const OpenTransaction& transaction,
      std::chrono::milliseconds timeout) const {
    return std::min(timeout,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        transaction.expires_at - this->clock.Now()));
  }

  void RunExpiry() {
    std::unique_lock lock(this->mutex);
    while (!this->close_signal.wait_for(lock, kExpiryCheckInterval,
                                        [this] { return this->closed; })) {
      this->table.AbortExpired(this->clock.Now());
    }
  }

  const TransactionSettings settings;
  const TransactionIdCodec ids;
  const ClockType clock;
  TransactionTable table;
  std::mutex mutex;
  std::condition_variable close_signal;
  bool closed = false;
  // Last, because the thread uses the other members.
  std::thread expiry_thread;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_TRANSACTION_REGISTRY_H_
