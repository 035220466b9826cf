#ifndef LABURNUMKEEL_ENDPOINTS_CONNECTION_LEASE_H_
#define LABURNUMKEEL_ENDPOINTS_CONNECTION_LEASE_H_

#include <functional>
#include <optional>
#include <string_view>

#include "laburnumkeel/endpoints/endpoint_connection.h"

namespace laburnumkeel::endpoints {

// Exclusive use of one connection of a pool. When the lease ends, the
// connection returns to the pool if it is usable and is closed otherwise. May
// outlive the pool.
class ConnectionLease {
 public:
  // Returns the connection to the pool, or closes it if `close_reason` is not
  // empty.
  using ReturnConnection =
      std::function<void(EndpointConnection, std::string_view close_reason)>;

  ConnectionLease(EndpointConnection connection,
                  ReturnConnection return_connection);
  ConnectionLease(ConnectionLease&& other) noexcept;
  ConnectionLease& operator=(ConnectionLease&& other) noexcept;
  ~ConnectionLease();

  // Must not be called after `Discard`.
  EndpointConnection& Connection() { return *this->connection; }

  // Ends the lease and closes the connection.
  void Discard(std::string_view reason);

 private:
  void End(std::string_view close_reason);

  std::optional<EndpointConnection> connection;
  ReturnConnection return_connection;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_CONNECTION_LEASE_H_
