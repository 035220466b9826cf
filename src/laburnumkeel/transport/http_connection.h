#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_H_

#include <chrono>
#include <memory>
#include <string>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/transport/http_message.h"
#include "laburnumkeel/transport/transport_error.h"

namespace laburnumkeel::transport {

// Limits of a client connection.
struct ConnectionLimits {
  std::chrono::milliseconds connect_timeout{1000};
  std::size_t maximum_response_bytes = std::size_t{1024} * 1024;

  bool operator==(const ConnectionLimits&) const = default;
};

// One persistent HTTP/1.1 client connection. It sends each request exactly
// once: it never reconnects, retries or follows a redirect. After a failed
// exchange it is closed permanently. Not thread-safe, except for `Interrupt`.
class HttpConnection {
 public:
  // Opens a connection to `address` (`IP:port`).
  static kernel::Result<HttpConnection, TransportError> Open(
      const std::string& address, const ConnectionLimits& limits);

  HttpConnection(HttpConnection&&) noexcept;
  HttpConnection& operator=(HttpConnection&&) noexcept;
  ~HttpConnection();

  // Sends the request and waits for the complete response. `timeout` limits the
  // whole exchange. A response above the size limit fails with stage `kSent`.
  kernel::Result<HttpResponse, TransportError> Exchange(
      const HttpRequest& request, std::chrono::milliseconds timeout);

  // True when the connection can carry another request. Checks the socket: a
  // connection that the server closed, or on which unsolicited bytes arrived,
  // is not usable.
  bool IsUsable() const;

  void Close();

  // Aborts an exchange that is in progress on another thread: the exchange
  // fails and the connection is closed. The only function that may be called
  // from another thread.
  void Interrupt();

 private:
  struct Implementation;
  explicit HttpConnection(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_H_
