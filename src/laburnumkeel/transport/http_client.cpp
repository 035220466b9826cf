#include "laburnumkeel/transport/http_client.h"

#include <utility>

namespace laburnumkeel::transport {

HttpClient::HttpClient(std::string address, ConnectionLimits limits)
    : address(std::move(address)), limits(limits) {}

kernel::Result<HttpResponse, TransportError> HttpClient::Send(
    const HttpRequest& request, std::chrono::milliseconds timeout) {
  auto connection = this->AcquireConnection();
  if (!connection.has_value()) {
    return connection.error();
  }
  {
    const std::lock_guard lock(this->mutex);
    if (this->interrupted) {
      return TransportError{FailureStage::kNotSent, "the client is closed"};
    }
    this->active_connections.insert(&connection.value());
  }
  auto response = connection.value().Exchange(request, timeout);
  const std::lock_guard lock(this->mutex);
  this->active_connections.erase(&connection.value());
  if (response.has_value() && connection.value().IsUsable()) {
    this->idle_connections.push_back(std::move(connection.value()));
  }
  return response;
}

void HttpClient::Interrupt() {
  const std::lock_guard lock(this->mutex);
  this->interrupted = true;
  for (HttpConnection* connection : this->active_connections) {
    connection->Interrupt();
  }
}

kernel::Result<HttpConnection, TransportError> HttpClient::AcquireConnection() {
  {
    const std::lock_guard lock(this->mutex);
    while (!this->idle_connections.empty()) {
      HttpConnection connection = std::move(this->idle_connections.back());
      this->idle_connections.pop_back();
      if (connection.IsUsable()) {
        return connection;
      }
    }
  }
  return HttpConnection::Open(this->address, this->limits);
}

}  // namespace laburnumkeel::transport
