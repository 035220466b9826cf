#ifndef LABURNUMKEEL_ENDPOINTS_CONNECTION_LEASE_H_
#define LABURNUMKEEL_ENDPOINTS_CONNECTION_LEASE_H_

#include <functional>
#include <optional>
#include <string_view>

#include "laburnumkeel/endpoints/endpoint_connection.h"

namespace laburnumkeel::endpoints {

// Exclusive use of one connection of a pool. At its end the connection returns
// to the pool if it is usable and is closed otherwise. May outlive the pool.
class ConnectionLease {
 public:
  // Takes the connection back; closes it when `close_reason` is not empty.
  using GiveBack =
      std::function<void(EndpointConnection, std::string_view close_reason)>;

  ConnectionLease(EndpointConnection connection, GiveBack give_back);
  ConnectionLease(ConnectionLease&& other) noexcept;
  ConnectionLease& operator=(ConnectionLease&& other) noexcept;
  ~ConnectionLease();

  // Only before `Discard`.
  EndpointConnection& Connection() { return *this->connection; }

  // Ends the lease and closes the connection.
  void Discard(std::string_view reason);

 private:
  void End(std::string_view close_reason);

  std::optional<EndpointConnection> connection;
  GiveBack give_back;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_CONNECTION_LEASE_H_
