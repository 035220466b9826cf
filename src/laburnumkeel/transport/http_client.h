#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CLIENT_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CLIENT_H_

#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "laburnumkeel/transport/http_connection.h"

namespace laburnumkeel::transport {

// Sends requests to one address over kept connections, for calls whose
// repetition the caller decides. A request is still sent only once.
// Thread-safe.
class HttpClient {
 public:
  HttpClient(std::string address, ConnectionLimits limits);

  // Takes a kept connection or opens one. `timeout` is for the exchange;
  // opening has the limit of `ConnectionLimits`.
  kernel::Result<HttpResponse, TransportError> Send(
      const HttpRequest& request, std::chrono::milliseconds timeout);

  // Ends all exchanges in progress and refuses further ones, for shutdown. An
  // attempt to connect runs on to its limit.
  void Interrupt();

  const std::string& Address() const { return this->address; }

 private:
  kernel::Result<HttpConnection, TransportError> Take();

  const std::string address;
  const ConnectionLimits limits;
  std::mutex mutex;
  std::vector<HttpConnection> idle;
  std::set<HttpConnection*> active;
  bool interrupted = false;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CLIENT_H_
