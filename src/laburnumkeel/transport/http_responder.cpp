#include "laburnumkeel/transport/http_responder.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "laburnumkeel/transport/socket_address.h"

namespace laburnumkeel::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Closes a connection without a request for this long. Probes arrive every
// second, so their connections stay open.
constexpr std::chrono::seconds kIdleTimeout{30};
// Many VMs may connect at the same moment; a connection beyond the backlog is
// delayed by seconds.
constexpr int kListenBacklog = 128;

// Time until a connection is accepted again when the system has no descriptor
// or memory for it.
constexpr std::chrono::milliseconds kAcceptPause{100};

}  // namespace

class HttpResponder::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::ip::tcp::socket socket,
             const HttpResponder::Handler& handler,
             std::size_t maximum_body_bytes)
      : stream(std::move(socket)),
        handler(handler),
        maximum_body_bytes(maximum_body_bytes) {}

  void Read() {
    this->parser.emplace();
    this->parser->body_limit(this->maximum_body_bytes);
    this->waiting_since = std::chrono::steady_clock::now();
    this->stream.expires_after(kIdleTimeout);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error,
                                                       std::size_t) {
                       if (!error) {
                         self->Respond();
                       }
                     });
  }

  void Close() { this->stream.close(); }

  // Since when the connection has had no complete request.
  std::chrono::steady_clock::time_point WaitingSince() const {
    return this->waiting_since;
  }

 private:
  void Respond() {
    http::request<http::string_body> request = this->parser->release();
    HttpCall call;
    call.method = std::string(request.method_string());
    call.target = std::string(request.target());
    call.body = std::move(request.body());
    HttpAnswer answer = this->handler(call);
    this->response = {};
    this->response.result(static_cast<unsigned>(answer.status));
    this->response.version(11);
    this->response.keep_alive(request.keep_alive());
    for (const auto& [name, value] : answer.headers) {
      this->response.set(name, value);
    }
    this->response.body() = std::move(answer.body);
    this->response.prepare_payload();
    http::async_write(this->stream, this->response,
                      [self = this->shared_from_this()](beast::error_code error,
                                                        std::size_t) {
                        if (!error && self->response.keep_alive()) {
                          self->Read();
                        }
                      });
  }

  beast::tcp_stream stream;
  const HttpResponder::Handler& handler;
  const std::size_t maximum_body_bytes;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  std::chrono::steady_clock::time_point waiting_since;
};

HttpResponder::HttpResponder(asio::io_context& loop, Handler handler)
    : loop(loop),
      acceptor(loop),
      retry_timer(loop),
      handler(std::move(handler)) {}

void HttpResponder::SetLimits(std::size_t connections_limit,
                              std::size_t body_bytes) {
  this->maximum_connections = connections_limit;
  this->maximum_body_bytes = body_bytes;
}

bool HttpResponder::Listen(const std::string& address) {
  const auto endpoint = ParseSocketAddress(address);
  if (!endpoint) {
    return false;
  }
  boost::system::error_code error;
  this->acceptor.open(endpoint->protocol(), error);
  this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  this->acceptor.bind(*endpoint, error);
  if (error) {
    return false;
  }
  this->acceptor.listen(kListenBacklog, error);
  if (error) {
    return false;
  }
  this->Accept();
  return true;
}

void HttpResponder::Accept() {
  this->acceptor.async_accept(
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          this->Open(std::move(socket));
          this->Accept();
          return;
        }
        // Without a free descriptor, accepting at once again would fail at once
        // again.
        this->retry_timer.expires_after(kAcceptPause);
        this->retry_timer.async_wait([this](boost::system::error_code stopped) {
          if (!stopped) {
            this->Accept();
          }
        });
      });
}

void HttpResponder::Open(asio::ip::tcp::socket socket) {
  std::erase_if(this->connections,
                [](const auto& connection) { return connection.expired(); });
  if (this->connections.size() >= this->maximum_connections) {
    std::shared_ptr<Connection> longest;
    for (const auto& entry : this->connections) {
      const auto connection = entry.lock();
      if (!longest || connection->WaitingSince() < longest->WaitingSince()) {
        longest = connection;
      }
    }
    longest->Close();
  }
  const auto connection = std::make_shared<Connection>(
      std::move(socket), this->handler, this->maximum_body_bytes);
  this->connections.push_back(connection);
  connection->Read();
}

}  // namespace laburnumkeel::transport
