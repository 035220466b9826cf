#include "laburnumkeel/endpoints/connection_lease.h"

#include <utility>

namespace laburnumkeel::endpoints {

ConnectionLease::ConnectionLease(EndpointConnection connection,
                                 ReturnConnection return_connection)
    : connection(std::move(connection)),
      return_connection(std::move(return_connection)) {}

ConnectionLease::ConnectionLease(ConnectionLease&& other) noexcept
    : connection(std::exchange(other.connection, std::nullopt)),
      return_connection(std::move(other.return_connection)) {}

ConnectionLease& ConnectionLease::operator=(ConnectionLease&& other) noexcept {
  if (this != &other) {
    this->End("");
    this->connection = std::exchange(other.connection, std::nullopt);
    this->return_connection = std::move(other.return_connection);
  }
  return *this;
}

ConnectionLease::~ConnectionLease() { this->End(""); }

void ConnectionLease::Discard(std::string_view reason) { this->End(reason); }

void ConnectionLease::End(std::string_view close_reason) {
  if (!this->connection.has_value()) {
    return;
  }
  EndpointConnection ended = std::move(*this->connection);
  this->connection.reset();
  this->return_connection(std::move(ended), close_reason);
}

}  // namespace laburnumkeel::endpoints
