#ifndef LABURNUMKEEL_ENDPOINTS_ENDPOINT_POOL_H_
#define LABURNUMKEEL_ENDPOINTS_ENDPOINT_POOL_H_

#include <memory>
#include <thread>
#include <utility>

#include "laburnumkeel/endpoints/connection_lease.h"
#include "laburnumkeel/endpoints/pool_state.h"
#include "laburnumkeel/kernel/boot_clock.h"

namespace laburnumkeel::endpoints {

// Connections of this VM to one endpoint, opened in advance by a background
// thread and never more than `PoolSettings::maximum_connections`. Waiting
// requests get free connections round-robin over the client accounts.
// Thread-safe.
template <kernel::Clock ClockType = kernel::BootClock>
class EndpointPool {
 public:
  // Starts opening connections immediately.
  explicit EndpointPool(const PoolSettings& settings,
                        ClockType clock = ClockType())
      : state(std::make_shared<detail::PoolState<ClockType>>(settings,
                                                             std::move(clock))),
        opener([state = this->state] { state->MaintainConnections(); }) {}
  ~EndpointPool() { this->Close(); }
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // Waits for a connection until the deadline, unless none can be expected by
  // then. All errors are `not_run`: `queue_timeout`, with the time after which
  // to try again, `connect_failed` when the endpoint cannot be reached and no
  // connection is open, `access_revoked` when `may_proceed` returns false once
  // the request leaves the queue, `no_transaction_slot` or `pool_closed`.
  kernel::Result<ConnectionLease, EndpointError> Acquire(
      const AcquireRequest& request) {
    return detail::PoolState<ClockType>::Acquire(this->state, request);
  }

  // True once all connections have been open, until none is open any more.
  bool IsWarm() const { return this->state->IsWarm(); }

  const PoolSettings& Settings() const { return this->state->Settings(); }

  // Refuses waiting and further requests and closes idle connections; a leased
  // connection is closed when its lease ends. Takes up to the connect and probe
  // timeouts while a connection is being opened. A second call does nothing.
  void Close() {
    this->state->Close();
    if (this->opener.joinable()) {
      this->opener.join();
    }
  }

 private:
  std::shared_ptr<detail::PoolState<ClockType>> state;
  std::thread opener;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_ENDPOINT_POOL_H_
