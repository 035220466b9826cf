#include "laburnumkeel/endpoints/transaction_table.h"

#include <utility>

#include "laburnumkeel/endpoints/events.h"

namespace laburnumkeel::endpoints {

namespace {

void LogAborted(const TransactionScope& scope, std::string_view reason) {
  kernel::LogEvent(kTransactionAborted, {{"account", scope.account},
                                         {"group", scope.group},
                                         {"endpoint", scope.endpoint},
                                         {"reason", reason}});
}

}  // namespace

kernel::Result<TransactionTable::Handle, EndpointError> TransactionTable::Add(
    const std::string& local_id, const TransactionScope& scope,
    ConnectionLease lease, kernel::Instant expires_at) {
  const std::lock_guard lock(this->mutex);
  if (this->refuses_new) {
    return NotRun(codes::kTransactionsClosed,
                  "this VM begins no new transactions");
  }
  auto transaction =
      std::make_shared<OpenTransaction>(scope, std::move(lease), expires_at);
  transaction->activity = TransactionActivity::kStatement;
  this->open.emplace(local_id, transaction);
  return transaction;
}

kernel::Result<TransactionTable::Handle, EndpointError> TransactionTable::Take(
    const std::string& local_id, const std::string& account,
    TransactionActivity activity, kernel::Instant now) {
  const std::lock_guard lock(this->mutex);
  auto found = this->Lookup(local_id, account, now);
  if (!found.has_value()) {
    return found;
  }
  OpenTransaction& transaction = *found.value();
  if (transaction.activity != TransactionActivity::kIdle) {
    return NotRun(codes::kTransactionBusy,
                  "another request of this transaction is in progress");
  }
  transaction.activity = activity;
  return found;
}

void TransactionTable::Release(const std::string& local_id,
                               const Handle& transaction, TransactionEnd end) {
  std::string reason;
  {
    const std::lock_guard lock(this->mutex);
    transaction->activity = TransactionActivity::kIdle;
    reason = transaction->abort_reason;
    if (reason.empty() && !transaction->Connection().IsUsable()) {
      reason = "connection_lost";
    }
    if (reason.empty() && end == TransactionEnd::kAbandoned) {
      reason = "abandoned";
    }
    if (reason.empty() && end == TransactionEnd::kContinues) {
      return;
    }
    this->open.erase(local_id);
  }
  // If an abort was requested, an interrupt may be pending on the connection,
  // so it is closed even after a confirmed end.
  if (!reason.empty()) {
    transaction->lease.Discard(reason);
  }
  if (end != TransactionEnd::kConfirmed) {
    LogAborted(transaction->scope, reason);
  }
}

kernel::Result<TransactionScope, EndpointError> TransactionTable::Find(
    const std::string& local_id, const std::string& account,
    kernel::Instant now) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->Lookup(local_id, account, now);
  if (!found.has_value()) {
    return found.error();
  }
  return found.value()->scope;
}

std::size_t TransactionTable::AbortExpired(kernel::Instant now) {
  return this->AbortIf(
      [now](const OpenTransaction& transaction) {
        return transaction.expires_at <= now;
      },
      "time_limit");
}

std::size_t TransactionTable::AbortAccount(const std::string& account) {
  return this->AbortIf(
      [&account](const OpenTransaction& transaction) {
        return transaction.scope.account == account;
      },
      "access_revoked");
}

std::size_t TransactionTable::AbortAll() {
  return this->AbortIf([](const OpenTransaction&) { return true; }, "shutdown");
}

void TransactionTable::RefuseNew() {
  const std::lock_guard lock(this->mutex);
  this->refuses_new = true;
}

std::size_t TransactionTable::Count() const {
  const std::lock_guard lock(this->mutex);
  return this->open.size();
}

std::size_t TransactionTable::AbortIf(
    const std::function<bool(const OpenTransaction&)>& matches,
    std::string_view reason) {
  std::vector<Handle> aborted;
  std::size_t count = 0;
  {
    const std::lock_guard lock(this->mutex);
    for (auto entry = this->open.begin(); entry != this->open.end();) {
      OpenTransaction& transaction = *entry->second;
      const bool is_newly_aborted =
          transaction.abort_reason.empty() && matches(transaction);
      if (!is_newly_aborted) {
        ++entry;
        continue;
      }
      ++count;
      transaction.abort_reason = reason;
      if (transaction.activity == TransactionActivity::kIdle) {
        aborted.push_back(entry->second);
        entry = this->open.erase(entry);
        continue;
      }
      // `Release` closes the connection when the current request ends.
      if (transaction.activity == TransactionActivity::kStatement) {
        transaction.Connection().Interrupt();
      }
      ++entry;
    }
  }
  for (const Handle& transaction : aborted) {
    transaction->lease.Discard(reason);
    LogAborted(transaction->scope, reason);
  }
  return count;
}

kernel::Result<TransactionTable::Handle, EndpointError>
TransactionTable::Lookup(const std::string& local_id,
                         const std::string& account,
                         kernel::Instant now) const {
  const auto entry = this->open.find(local_id);
  if (entry == this->open.end() || !entry->second->abort_reason.empty() ||
      entry->second->expires_at <= now) {
    // The message must not suggest that an earlier commit with outcome
    // `unknown` did not run.
    return NotRun(codes::kTransactionUnknown,
                  "the transaction has ended, was aborted or reached its time "
                  "limit; an earlier outcome of its commit still holds");
  }
  if (entry->second->scope.account != account) {
    return NotRun(codes::kTransactionOfOtherAccount,
                  "the transaction belongs to another client account");
  }
  return entry->second;
}

}  // namespace laburnumkeel::endpoints
