#include "laburnumkeel/transport/http_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace laburnumkeel::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// The kernel closes a connection whose sent data stays unacknowledged for this
// long. A network path that silently drops packets is thus detected without
// waiting until all retransmissions have failed.
constexpr unsigned int kTcpUserTimeoutMs = 2000;

TransportError NotSent(const std::string& message) {
  return TransportError{FailureStage::kNotSent, message};
}

http::request<http::string_body> ToBeast(const HttpRequest& request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, "endpoint");
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  if (!request.body.empty()) {
    message.set(http::field::content_type, "application/json");
  }
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

}  // namespace

struct HttpConnection::Implementation {
  asio::io_context context;
  beast::tcp_stream stream{this->context};
  beast::flat_buffer buffer;
  ConnectionLimits limits;
  bool usable = false;

  // Runs the single pending operation to completion.
  void Run() {
    this->context.restart();
    this->context.run();
  }

  void Close() {
    this->usable = false;
    beast::error_code ignored;
    this->stream.socket().close(ignored);
  }
};

HttpConnection::HttpConnection(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation)) {}
HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;
HttpConnection& HttpConnection::operator=(HttpConnection&&) noexcept = default;
HttpConnection::~HttpConnection() = default;

kernel::Result<HttpConnection, TransportError> HttpConnection::Open(
    const std::string& address, const ConnectionLimits& limits) {
  const std::size_t colon = address.rfind(':');
  beast::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (colon == std::string::npos || error) {
    return NotSent("invalid address " + address);
  }
  const int port = std::atoi(address.c_str() + colon + 1);
  auto implementation = std::make_unique<Implementation>();
  implementation->limits = limits;
  implementation->stream.expires_after(limits.connect_timeout);
  implementation->stream.async_connect(
      tcp::endpoint(ip, static_cast<std::uint16_t>(port)),
      [&error](beast::error_code result) { error = result; });
  implementation->Run();
  if (error) {
    return NotSent("connect to " + address + ": " + error.message());
  }
  auto& socket = implementation->stream.socket();
  socket.set_option(tcp::no_delay(true), error);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  implementation->usable = true;
  return HttpConnection(std::move(implementation));
}

kernel::Result<HttpResponse, TransportError> HttpConnection::Exchange(
    const HttpRequest& request, std::chrono::milliseconds timeout) {
  Implementation& state = *this->implementation;
  if (!this->IsUsable()) {
    state.Close();
    return NotSent("the connection is closed");
  }
  const auto message = ToBeast(request);
  beast::error_code error;
  std::size_t sent = 0;
  state.stream.expires_after(timeout);
  http::async_write(state.stream, message,
                    [&](beast::error_code result, std::size_t count) {
                      error = result;
                      sent = count;
                    });
  state.Run();
  if (error) {
    state.Close();
    const auto stage = sent == 0 && error != beast::error::timeout
                           ? FailureStage::kNotSent
                           : FailureStage::kSent;
    return TransportError{stage, "send: " + error.message()};
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(state.limits.maximum_response_bytes);
  http::async_read(
      state.stream, state.buffer, parser,
      [&error](beast::error_code result, std::size_t) { error = result; });
  state.Run();
  if (error) {
    state.Close();
    return TransportError{FailureStage::kSent, "receive: " + error.message()};
  }
  const auto response = parser.release();
  if (!response.keep_alive()) {
    state.Close();
  }
  HttpResponse result{static_cast<int>(response.result_int()), {}, {}};
  for (const auto& field : response) {
    result.headers[std::string(field.name_string())] =
        std::string(field.value());
  }
  result.body = response.body();
  return result;
}

bool HttpConnection::IsUsable() const {
  if (this->implementation == nullptr || !this->implementation->usable ||
      this->implementation->buffer.size() > 0) {
    return false;
  }
  char byte = 0;
  const ssize_t count =
      recv(this->implementation->stream.socket().native_handle(), &byte, 1,
           MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::Close() {
  if (this->implementation != nullptr) {
    this->implementation->Close();
  }
}

void HttpConnection::Interrupt() {
  asio::post(this->implementation->context,
             [state = this->implementation.get()] { state->Close(); });
}

}  // namespace laburnumkeel::transport
