#ifndef LABURNUMKEEL_TRANSPORT_HTTP_SERVER_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "laburnumkeel/kernel/metrics.h"
#include "laburnumkeel/transport/http_message.h"

namespace laburnumkeel::transport {

struct ServerLimits {
  unsigned int maximum_connections = 8000;
  // Requests with a larger body are refused with status 413.
  std::size_t maximum_body_bytes = std::size_t{64} * 1024;
  // Idle connections are closed after this time; 0 keeps them open.
  unsigned int idle_timeout_seconds = 0;
  // Memory for connections, requests and answers; 0 takes half of the machine's
  // memory.
  std::size_t memory_budget_bytes = 0;
  // Time for a request to arrive, and for a client to take an answer.
  std::chrono::milliseconds receive_timeout{10000};
  std::chrono::milliseconds send_timeout{30000};
  // Descriptors that connections of clients leave free.
  std::size_t reserved_descriptors = 256;
};

// HTTP server based on ulfius, with one thread per connection, so that a
// handler that waits for an endpoint does not delay other connections. Clients
// that stall or exceed a limit are refused or closed, so that memory and
// descriptors stay within the limits (docs/design/hostile-http-clients.md).
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  // Listens on `address` (`IP:port`, IPv4 or IPv6) after `Start`.
  HttpServer(const std::string& address, const ServerLimits& limits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Adds a route such as `/v1/services/:service/read`. Call it before `Start`.
  void AddRoute(const std::string& method, const std::string& route,
                Handler handler);

  // Sets the handler of requests that match no route; without one they get
  // status 404.
  void SetDefault(Handler handler);

  // Counts refusals and closed connections there; call it before `Start`.
  void SetMetrics(kernel::Metrics& metrics);

  // Returns false when the address is invalid or cannot be bound.
  bool Start();

  // Stops accepting connections and returns when all handlers have returned and
  // their responses were sent. Connections that take longer than
  // kMaximumSendTime to receive a response are closed.
  void Stop();

  static constexpr std::chrono::milliseconds kMaximumSendTime{2000};

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_SERVER_H_
