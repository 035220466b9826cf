#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CLIENT_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CLIENT_H_

#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "laburnumkeel/transport/http_connection.h"

namespace laburnumkeel::transport {

// Sends requests to one address over a pool of persistent connections. Each
// request is sent only once; the caller decides whether to retry. Thread-safe.
class HttpClient {
 public:
  HttpClient(std::string address, ConnectionLimits limits);

  // Uses an idle connection or opens one. `timeout` limits the exchange of
  // request and response; `ConnectionLimits` limits the time to connect.
  kernel::Result<HttpResponse, TransportError> Send(
      const HttpRequest& request, std::chrono::milliseconds timeout);

  // Aborts all exchanges in progress and refuses further ones, for shutdown. An
  // attempt to connect is not aborted; it ends by its own timeout.
  void Interrupt();

  const std::string& Address() const { return this->address; }

 private:
  kernel::Result<HttpConnection, TransportError> AcquireConnection();

  const std::string address;
  const ConnectionLimits limits;
  std::mutex mutex;
  std::vector<HttpConnection> idle_connections;
  std::set<HttpConnection*> active_connections;
  bool interrupted = false;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CLIENT_H_
