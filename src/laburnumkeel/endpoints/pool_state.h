#ifndef LABURNUMKEEL_ENDPOINTS_POOL_STATE_H_
#define LABURNUMKEEL_ENDPOINTS_POOL_STATE_H_

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "laburnumkeel/admission/return_schedule.h"
#include "laburnumkeel/endpoints/acquire_request.h"
#include "laburnumkeel/endpoints/connection_lease.h"
#include "laburnumkeel/endpoints/endpoint_connection.h"
#include "laburnumkeel/endpoints/events.h"
#include "laburnumkeel/endpoints/fair_queue.h"
#include "laburnumkeel/endpoints/lease_times.h"
#include "laburnumkeel/endpoints/pool_settings.h"
#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/result.h"

namespace laburnumkeel::endpoints::detail {

struct PooledConnection {
  EndpointConnection connection;
  kernel::Instant opened_at;
  kernel::Instant last_used;
};

// A request for a connection; its thread blocks until one of the two results is
// set.
struct Waiter {
  std::condition_variable changed;
  std::optional<PooledConnection> connection;
  std::optional<EndpointError> refusal;
};

// State that an `EndpointPool` shares with its thread and its leases, which may
// outlive the pool.
template <kernel::Clock ClockType>
class PoolState {
 public:
  PoolState(PoolSettings settings, ClockType clock)
      : settings(std::move(settings)), clock(std::move(clock)) {}

  static kernel::Result<ConnectionLease, EndpointError> Acquire(
      const std::shared_ptr<PoolState>& state, const AcquireRequest& request) {
    const bool is_transaction = request.purpose == LeasePurpose::kTransaction;
    if (is_transaction && !state->TakeTransactionSlot()) {
      return state->Refuse(request,
                           NotRun(codes::kNoTransactionSlot,
                                  "too many transactions are open on this VM"));
    }
    auto connection = state->TakeUsable(request);
    if (!connection.has_value()) {
      state->ReturnTransactionSlot(is_transaction);
      return state->Refuse(request, connection.error());
    }
    const kernel::Instant opened_at = connection.value().opened_at;
    const kernel::Instant leased_at = state->clock.Now();
    return ConnectionLease(
        std::move(connection.value().connection),
        [state, opened_at, leased_at, is_transaction](
            EndpointConnection ended, std::string_view close_reason) {
          state->ReturnTransactionSlot(is_transaction);
          state->RecordLease(leased_at);
          state->ReturnConnection(
              PooledConnection{std::move(ended), opened_at, opened_at},
              close_reason);
        });
  }

  // Opens missing connections and closes stale ones until `Close`.
  void MaintainConnections() {
    std::unique_lock lock(this->mutex);
    kernel::Duration backoff = kInitialBackoff;
    while (!this->closed) {
      this->CloseStaleIdle();
      if (this->established >= this->settings.maximum_connections) {
        const bool has_changed =
            this->opener_signal.wait_for(lock, kMaintenanceInterval, [this] {
              return this->closed ||
                     this->established < this->settings.maximum_connections;
            });
        backoff = has_changed ? backoff : kInitialBackoff;
        continue;
      }
      if (std::exchange(this->connection_closed_early, false)) {
        this->WaitBackoff(lock, backoff);
        continue;
      }
      lock.unlock();
      auto opened = this->OpenAndProbe();
      lock.lock();
      if (opened.has_value()) {
        this->AddOpened(std::move(opened.value()));
        continue;
      }
      this->open_failed = true;
      if (this->established == 0) {
        this->RefuseAll(NotRun(codes::kConnectFailed, opened.error().message));
      }
      this->WaitBackoff(lock, backoff);
    }
  }

  bool IsWarm() const {
    const std::lock_guard lock(this->mutex);
    return this->warm && !this->closed;
  }

  const PoolSettings& Settings() const { return this->settings; }

  void Close() {
    const std::lock_guard lock(this->mutex);
    this->closed = true;
    this->RefuseAll(NotRun(codes::kPoolClosed, "the pool was closed"));
    while (!this->idle.empty()) {
      this->CloseFirstIdle("pool_closed");
    }
    this->opener_signal.notify_all();
  }

 private:
  static constexpr std::string_view kClosedByEndpoint = "closed_by_endpoint";
  static constexpr kernel::Duration kInitialBackoff =
      std::chrono::milliseconds(50);
  static constexpr kernel::Duration kMaximumBackoff = std::chrono::seconds(1);
  static constexpr kernel::Duration kMaintenanceInterval =
      std::chrono::seconds(1);
  // The pool pauses after the endpoint closed a connection younger than this;
  // otherwise it would reconnect in a busy loop.
  static constexpr kernel::Duration kShortLifetime = std::chrono::seconds(1);
  // The timeouts of condition variables do not count time during which the VM
  // is suspended, so a waiter checks its own clock at least this often.
  static constexpr kernel::Duration kDeadlineCheckInterval =
      std::chrono::milliseconds(100);

  bool TakeTransactionSlot() {
    const std::lock_guard lock(this->mutex);
    if (this->transaction_leases >= this->settings.MaximumTransactions()) {
      return false;
    }
    ++this->transaction_leases;
    return true;
  }

  void ReturnTransactionSlot(bool is_transaction) {
    const std::lock_guard lock(this->mutex);
    this->transaction_leases -= is_transaction ? 1 : 0;
  }

  void RecordLease(kernel::Instant leased_at) {
    const std::lock_guard lock(this->mutex);
    this->lease_times.OnReturned(this->clock.Now() - leased_at);
  }

  EndpointError Refuse(const AcquireRequest& request,
                       const EndpointError& error) const {
    kernel::LogEvent(kQueueRefusal, {{"endpoint", this->settings.endpoint},
                                     {"account", request.account},
                                     {"reason", error.code}});
    return error;
  }

  // Takes connections from the pool until one is usable.
  kernel::Result<PooledConnection, EndpointError> TakeUsable(
      const AcquireRequest& request) {
    while (true) {
      auto taken = this->WaitInQueue(request);
      if (!taken.has_value()) {
        return taken;
      }
      const std::string_view failure =
          this->Check(taken.value(), request.deadline);
      if (!failure.empty()) {
        this->ReturnConnection(std::move(taken.value()), failure);
        continue;
      }
      if (request.deadline <= this->clock.Now()) {
        this->ReturnConnection(std::move(taken.value()), "");
        return NotRun(codes::kQueueTimeout, "the deadline passed");
      }
      if (request.may_proceed && !request.may_proceed()) {
        this->ReturnConnection(std::move(taken.value()), "");
        return NotRun(codes::kAccessRevoked,
                      "access was revoked while the request waited");
      }
      return taken;
    }
  }

  kernel::Result<PooledConnection, EndpointError> WaitInQueue(
      const AcquireRequest& request) {
    std::unique_lock lock(this->mutex);
    if (this->closed) {
      return NotRun(codes::kPoolClosed, "the pool was closed");
    }
    if (this->open_failed && this->established == 0) {
      return NotRun(codes::kConnectFailed, "the endpoint cannot be reached");
    }
    if (this->idle.empty() &&
        LeaseTimes::IsHopeless(
            this->lease_times.ExpectedWait(
                this->queue.Ahead(request.account) + 1, this->established),
            request.deadline - this->clock.Now())) {
      return this->QueueTimeout("no connection is expected in time");
    }
    Waiter waiter;
    const Ticket ticket = this->queue.Add(request.account, request.deadline);
    this->waiters.emplace(ticket, &waiter);
    this->Dispatch();
    while (!waiter.connection.has_value() && !waiter.refusal.has_value()) {
      const kernel::Duration time_left = request.deadline - this->clock.Now();
      if (time_left <= kernel::Duration(0)) {
        this->queue.Remove(request.account, ticket);
        waiter.refusal =
            this->QueueTimeout("no connection became free in time");
        break;
      }
      waiter.changed.wait_for(lock,
                              std::min(time_left, kDeadlineCheckInterval));
    }
    this->waiters.erase(ticket);
    if (waiter.refusal.has_value()) {
      return *waiter.refusal;
    }
    return std::move(*waiter.connection);
  }

  // Returns why the connection cannot be used; empty if it can.
  std::string_view Check(PooledConnection& pooled, kernel::Instant deadline) {
    if (!pooled.connection.IsUsable()) {
      return kClosedByEndpoint;
    }
    const kernel::Instant now = this->clock.Now();
    if (now - pooled.last_used < this->settings.probe_after) {
      return "";
    }
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    // `TakeUsable` refuses the request; the connection is not closed for that.
    if (time_left.count() <= 0) {
      return "";
    }
    return this->Probe(pooled.connection,
                       std::min(time_left, this->settings.probe_timeout))
                   .has_value()
               ? ""
               : "probe_failed";
  }

  kernel::Result<model::EndpointStatus, EndpointError> Probe(
      EndpointConnection& connection, std::chrono::milliseconds timeout) const {
    auto status = connection.Probe(timeout);
    if (status.has_value() &&
        status.value().endpoint != this->settings.endpoint) {
      return Unknown(
          codes::kInvalidResponse,
          "the address belongs to endpoint " + status.value().endpoint);
    }
    return status;
  }

  kernel::Result<PooledConnection, EndpointError> OpenAndProbe() const {
    auto connection =
        EndpointConnection::Open(this->settings.address, this->settings.origin,
                                 this->settings.connection_limits);
    const auto log_failure = [this](const EndpointError& error) {
      kernel::LogEvent(kConnectionOpenFailed,
                       {{"endpoint", this->settings.endpoint},
                        {"address", this->settings.address},
                        {"code", error.code},
                        {"message", error.message}});
      return error;
    };
    if (!connection.has_value()) {
      return log_failure(connection.error());
    }
    const auto status =
        this->Probe(connection.value(), this->settings.probe_timeout);
    if (!status.has_value()) {
      return log_failure(status.error());
    }
    kernel::LogEvent(kConnectionOpened, {{"endpoint", this->settings.endpoint},
                                         {"address", this->settings.address}});
    const kernel::Instant now = this->clock.Now();
    return PooledConnection{std::move(connection.value()), now, now};
  }

  void ReturnConnection(PooledConnection pooled,
                        std::string_view close_reason) {
    if (close_reason.empty() && !pooled.connection.IsUsable()) {
      close_reason = "not_usable";
    }
    std::unique_lock lock(this->mutex);
    if (close_reason.empty() && this->closed) {
      close_reason = "pool_closed";
    }
    if (close_reason.empty() && this->IsReplacementDue(pooled)) {
      close_reason = "maximum_age";
    }
    pooled.last_used = this->clock.Now();
    this->idle.push_back(std::move(pooled));
    if (!close_reason.empty()) {
      std::rotate(this->idle.begin(), this->idle.end() - 1, this->idle.end());
      this->CloseFirstIdle(close_reason);
      return;
    }
    this->Dispatch();
  }

  // The caller of the functions below holds the mutex.

  // The refusal tells the caller to return when the waiting requests have been
  // served, spread over as long again.
  EndpointError QueueTimeout(std::string_view message) {
    std::uniform_real_distribution<double> draw(0, 1);
    EndpointError error = NotRun(codes::kQueueTimeout, message);
    error.retry_after =
        admission::ReturnDelay(this->lease_times.ExpectedWait(
                                   this->queue.Size() + 1, this->established),
                               0, 1, draw(this->random));
    return error;
  }

  // A connection is replaced only while all others are open, so that the pool
  // does not run empty when all connections reach their maximum age together.
  bool IsReplacementDue(const PooledConnection& pooled) const {
    return this->established >= this->settings.maximum_connections &&
           this->clock.Now() - pooled.opened_at >= this->settings.maximum_age;
  }

  void WaitBackoff(std::unique_lock<std::mutex>& lock,
                   kernel::Duration& backoff) {
    this->opener_signal.wait_for(lock, backoff,
                                 [this] { return this->closed; });
    backoff = std::min(backoff * 2, kMaximumBackoff);
  }

  void CloseStaleIdle() {
    for (std::size_t count = this->idle.size(); count > 0; --count) {
      const PooledConnection& first = this->idle.front();
      if (!first.connection.IsUsable()) {
        this->CloseFirstIdle(kClosedByEndpoint);
      } else if (this->IsReplacementDue(first)) {
        this->CloseFirstIdle("maximum_age");
      } else {
        std::rotate(this->idle.begin(), this->idle.begin() + 1,
                    this->idle.end());
      }
    }
  }

  void CloseFirstIdle(std::string_view reason) {
    // The socket is closed before `established` is decremented, so the endpoint
    // never sees more connections than the limit.
    this->idle.front().connection.Close();
    if (reason == kClosedByEndpoint &&
        this->clock.Now() - this->idle.front().opened_at < kShortLifetime) {
      this->connection_closed_early = true;
    }
    this->idle.pop_front();
    --this->established;
    this->warm = this->warm && this->established > 0;
    kernel::LogEvent(kConnectionClosed, {{"endpoint", this->settings.endpoint},
                                         {"reason", reason}});
    this->opener_signal.notify_all();
  }

  void AddOpened(PooledConnection opened) {
    this->open_failed = false;
    ++this->established;
    this->idle.push_back(std::move(opened));
    if (this->closed) {
      this->CloseFirstIdle("pool_closed");
      return;
    }
    if (!this->warm &&
        this->established >= this->settings.maximum_connections) {
      this->warm = true;
      kernel::LogEvent(kPoolWarm, {{"endpoint", this->settings.endpoint},
                                   {"connections", this->established}});
    }
    this->Dispatch();
  }

  // Assigns idle connections to waiting requests.
  void Dispatch() {
    while (!this->idle.empty()) {
      const auto ticket = this->queue.Next(this->clock.Now());
      if (!ticket.has_value()) {
        return;
      }
      Waiter& waiter = *this->waiters.at(*ticket);
      waiter.connection.emplace(std::move(this->idle.front()));
      this->idle.pop_front();
      waiter.changed.notify_one();
    }
  }

  void RefuseAll(const EndpointError& error) {
    for (const Ticket ticket : this->queue.TakeAll()) {
      Waiter& waiter = *this->waiters.at(ticket);
      waiter.refusal = error;
      waiter.changed.notify_one();
    }
  }

  const PoolSettings settings;
  const ClockType clock;
  mutable std::mutex mutex;
  std::condition_variable opener_signal;
  FairQueue queue;
  LeaseTimes lease_times;
  std::mt19937 random{std::random_device{}()};
  std::map<Ticket, Waiter*> waiters;
  std::deque<PooledConnection> idle;
  // Open connections, idle and leased.
  std::size_t established = 0;
  // Leases for transactions, including requests that still wait for one.
  std::size_t transaction_leases = 0;
  // The last attempt to open a connection failed.
  bool open_failed = false;
  // A connection younger than `kShortLifetime` was closed by the endpoint.
  bool connection_closed_early = false;
  bool warm = false;
  bool closed = false;
};

}  // namespace laburnumkeel::endpoints::detail

#endif  // LABURNUMKEEL_ENDPOINTS_POOL_STATE_H_
