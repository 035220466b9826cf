#include "laburnumkeel/endpoints/connection_lease.h"

#include <utility>

namespace laburnumkeel::endpoints {

ConnectionLease::ConnectionLease(EndpointConnection connection,
                                 GiveBack give_back)
    : connection(std::move(connection)), give_back(std::move(give_back)) {}

ConnectionLease::ConnectionLease(ConnectionLease&& other) noexcept
    : connection(std::exchange(other.connection, std::nullopt)),
      give_back(std::move(other.give_back)) {}

ConnectionLease& ConnectionLease::operator=(ConnectionLease&& other) noexcept {
  if (this != &other) {
    this->End("");
    this->connection = std::exchange(other.connection, std::nullopt);
    this->give_back = std::move(other.give_back);
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
  this->give_back(std::move(ended), close_reason);
}

}  // namespace laburnumkeel::endpoints
