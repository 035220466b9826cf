#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CHANNEL_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace laburnumkeel::transport {

// A request to an HTTP service.
struct HttpCall {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  // The connection is closed when the response is not complete within this
  // time, which includes connecting.
  std::chrono::milliseconds timeout{1000};
  // If set, the response may take this long as long as parts of it arrive:
  // `timeout` is then the limit for connecting, for sending, and for each part
  // of the response.
  std::optional<std::chrono::milliseconds> progress_timeout;
  // The call must not reach the server after it was given up, or after this
  // process has ended. It gets a connection of its own, which is then reset, so
  // that the system discards what the server's system has not received.
  bool is_withdrawable = false;
  // Asked right before the request is written, if set; the call is not sent
  // when it returns false.
  std::function<bool()> may_send;
};

// The response to a call. `status` is 0 when no complete response arrived: the
// server may have executed the call or may still execute it, unless it is
// unsent.
struct HttpAnswer {
  static constexpr int kOk = 200;

  int status = 0;
  std::string body;
  // Bytes of the body that arrived, also without a complete response.
  std::size_t received_bytes = 0;
  // By name in lower case.
  std::map<std::string, std::string> headers = {};
  // Nothing of the request was written: the server cannot execute it.
  bool is_unsent = false;
};

// Client of an HTTP server on an event loop, with one call at a time, and one
// keep-alive connection for all calls that are not withdrawable. A call is sent
// once: a failure is reported, never retried.
class HttpChannel {
 public:
  using Handler = std::function<void(const HttpAnswer& answer)>;

  // `address` is `IP:port`.
  HttpChannel(boost::asio::io_context& loop, std::string address);
  ~HttpChannel();
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;

  // Starts a call; no other call may be in progress.
  void Send(const HttpCall& call, Handler handler);

  bool IsBusy() const;

  // Gives up the call in progress, if there is one; its handler is called.
  void GiveUp();

 private:
  class Connection;

  boost::asio::io_context& loop;
  const std::string address;
  std::shared_ptr<Connection> connection;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CHANNEL_H_
