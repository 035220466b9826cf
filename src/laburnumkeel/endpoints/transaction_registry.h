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
  // Secret of the fleet.
  std::string secret;
  kernel::Duration time_limit = std::chrono::seconds(10);

  bool operator==(const TransactionSettings&) const = default;
};

struct BegunTransaction {
  std::string id;
  StatementResult result;

  bool operator==(const BegunTransaction&) const = default;
};

// Transactions open on this VM. Each holds the lease of its connection from
// begin to commit or abort, at most for the time limit. Thread-safe.
template <kernel::Clock ClockType = kernel::BootClock>
class TransactionRegistry {
 public:
  using StatementOutcome = kernel::Result<StatementResult, EndpointError>;

  explicit TransactionRegistry(const TransactionSettings& settings,
                               ClockType clock = ClockType())
      : settings(settings),
        ids(settings.secret),
        clock(std::move(clock)),
        reaper([this] { this->Reap(); }) {}
  ~TransactionRegistry() { this->Close(); }
  TransactionRegistry(const TransactionRegistry&) = delete;
  TransactionRegistry& operator=(const TransactionRegistry&) = delete;

  // Begins a transaction on a connection acquired for
  // `LeasePurpose::kTransaction`. `timeout` is for the call to the endpoint.
  kernel::Result<BegunTransaction, EndpointError> Begin(
      const TransactionScope& scope, const std::string& request_id,
      ConnectionLease lease, std::chrono::milliseconds timeout) {
    const std::string number = kernel::RandomIdentifier();
    auto added = this->table.Add(number, scope, std::move(lease),
                                 this->clock.Now() + this->settings.time_limit);
    if (!added.has_value()) {
      return added.error();
    }
    OpenTransaction& transaction = *added.value();
    auto result = transaction.Connection().Begin(
        TransactionRequest{request_id, scope.account, scope.term},
        this->Limit(transaction, timeout));
    if (!result.has_value()) {
      // After a refusal there is no transaction and the connection is free.
      this->table.Release(number, added.value(),
                          result.error().outcome == model::Outcome::kNotRun
                              ? TransactionEnd::kConfirmed
                              : TransactionEnd::kAbandoned);
      return result.error();
    }
    this->table.Release(number, added.value(), TransactionEnd::kContinues);
    const std::string id = this->ids.Encode(
        TransactionId{this->settings.vm, this->settings.incarnation, number},
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
    const auto number = this->Verify(id, account);
    if (!number.has_value()) {
      return number.error();
    }
    return this->table.Find(number.value(), account, this->clock.Now());
  }

  // Runs a statement in the transaction. Account and term of the request are
  // replaced by those of the transaction.
  StatementOutcome Execute(const std::string& id, const std::string& account,
                           const StatementRequest& request,
                           std::chrono::milliseconds timeout) {
    return this->Use(
        id, account, kStatementUse, timeout,
        [&request](OpenTransaction& transaction,
                   std::chrono::milliseconds limit) {
          return transaction.Connection().Execute(
              StatementRequest{request.request_id, request.kind,
                               request.statement, transaction.scope.account,
                               request.idempotency_id, transaction.scope.term},
              limit);
        });
  }

  // `unknown` when the response to the commit was lost.
  StatementOutcome Commit(const std::string& id, const std::string& account,
                          const std::string& request_id,
                          std::chrono::milliseconds timeout) {
    return this->Use(id, account, kCommitUse, timeout,
                     [&request_id](OpenTransaction& transaction,
                                   std::chrono::milliseconds limit) {
                       return transaction.Connection().Commit(
                           EndRequest(transaction, request_id), limit);
                     });
  }

  // Ends the transaction in any case: when the endpoint does not confirm the
  // abort, the connection is closed.
  StatementOutcome Abort(const std::string& id, const std::string& account,
                         const std::string& request_id,
                         std::chrono::milliseconds timeout) {
    return this->Use(id, account, kAbortUse, timeout,
                     [&request_id](OpenTransaction& transaction,
                                   std::chrono::milliseconds limit) {
                       return transaction.Connection().Abort(
                           EndRequest(transaction, request_id), limit);
                     });
  }

  // Aborts the transactions of an account whose access was revoked. Statements
  // in progress fail as `unknown`; a commit in progress runs to its end.
  // Returns the number of transactions.
  std::size_t AbortAccount(const std::string& account) {
    return this->table.AbortAccount(account);
  }

  // As `AbortAccount`, for all accounts.
  std::size_t AbortAll() { return this->table.AbortAll(); }

  // Begins no new transactions, for a graceful shutdown.
  void RefuseNew() { this->table.RefuseNew(); }

  std::size_t Count() const { return this->table.Count(); }

  // Refuses new transactions and aborts all. A second call does nothing.
  void Close() {
    this->table.RefuseNew();
    {
      const std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->close_signal.notify_all();
    if (this->reaper.joinable()) {
      this->reaper.join();
    }
    this->table.AbortAll();
  }

 private:
  // What a call does to a transaction.
  struct Usage {
    TransactionActivity activity;
    TransactionEnd after_success;
    TransactionEnd after_failure;
  };

  static constexpr Usage kStatementUse{TransactionActivity::kStatement,
                                       TransactionEnd::kContinues,
                                       TransactionEnd::kContinues};
  static constexpr Usage kCommitUse{TransactionActivity::kCommit,
                                    TransactionEnd::kConfirmed,
                                    TransactionEnd::kContinues};
  static constexpr Usage kAbortUse{TransactionActivity::kStatement,
                                   TransactionEnd::kConfirmed,
                                   TransactionEnd::kAbandoned};

  // A transaction exceeds its time limit by at most this.
  static constexpr std::chrono::milliseconds kReapInterval{100};

  static TransactionRequest EndRequest(const OpenTransaction& transaction,
                                       const std::string& request_id) {
    return TransactionRequest{request_id, transaction.scope.account,
                              transaction.scope.term};
  }

  template <class Call>
  StatementOutcome Use(const std::string& id, const std::string& account,
                       const Usage& usage, std::chrono::milliseconds timeout,
                       const Call& call) {
    const auto number = this->Verify(id, account);
    if (!number.has_value()) {
      return number.error();
    }
    const auto taken = this->table.Take(number.value(), account, usage.activity,
                                        this->clock.Now());
    if (!taken.has_value()) {
      return taken.error();
    }
    auto result = call(*taken.value(), this->Limit(*taken.value(), timeout));
    this->table.Release(
        number.value(), taken.value(),
        result.has_value() ? usage.after_success : usage.after_failure);
    if (result.has_value() &&
        usage.after_success == TransactionEnd::kConfirmed) {
      kernel::LogEvent(kTransactionEnded,
                       {{"account", account},
                        {"group", taken.value()->scope.group},
                        {"endpoint", taken.value()->scope.endpoint},
                        {"request_id", result.value().request_id}});
    }
    return result;
  }

  // The number of a transaction of this process.
  kernel::Result<std::string, EndpointError> Verify(
      const std::string& id, const std::string& account) const {
    const auto decoded = this->ids.Decode(id);
    const bool is_signed = this->ids.IsIssuedTo(id, account);
    if (decoded.has_value() && decoded->vm == this->settings.vm &&
        decoded->incarnation == this->settings.incarnation) {
      const auto scope =
          this->table.Find(decoded->number, account, this->clock.Now());
      // An id of another account names a transaction that exists here.
      if (is_signed ||
          (!scope.has_value() &&
           scope.error().code == codes::kTransactionOfOtherAccount)) {
        return decoded->number;
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

  std::chrono::milliseconds Limit(const OpenTransaction& transaction,
                                  std::chrono::milliseconds timeout) const {
    return std::min(timeout,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        transaction.expires_at - this->clock.Now()));
  }

  void Reap() {
    std::unique_lock lock(this->mutex);
    while (!this->close_signal.wait_for(lock, kReapInterval,
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
  std::thread reaper;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_TRANSACTION_REGISTRY_H_
