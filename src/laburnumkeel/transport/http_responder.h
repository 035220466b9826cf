#ifndef LABURNUMKEEL_TRANSPORT_HTTP_RESPONDER_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_RESPONDER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "laburnumkeel/transport/http_channel.h"

namespace laburnumkeel::transport {

// HTTP server on an event loop for small requests, such as health probes: the
// handler returns the response without waiting.
class HttpResponder {
 public:
  // Receives method, target and body of a request.
  using Handler = std::function<HttpAnswer(const HttpCall& call)>;

  // Bodies of requests are limited to 1 MiB by default.
  HttpResponder(boost::asio::io_context& loop, Handler handler);

  // Limits what requests may take. With `connections_limit` open, the one that
  // has been without a request for longest is closed for a new one.
  void SetLimits(std::size_t connections_limit, std::size_t body_bytes);

  // Listens on `IP:port`. Returns false when the address is invalid or cannot
  // be bound.
  bool Listen(const std::string& address);

 private:
  class Connection;

  static constexpr std::size_t kDefaultConnections = 1024;
  static constexpr std::size_t kDefaultBodyBytes = std::size_t{1} << 20;

  void Accept();
  void Open(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer retry_timer;
  const Handler handler;
  std::size_t maximum_connections = kDefaultConnections;
  std::size_t maximum_body_bytes = kDefaultBodyBytes;
  std::vector<std::weak_ptr<Connection>> connections;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_RESPONDER_H_
