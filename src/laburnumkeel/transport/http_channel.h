#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CHANNEL_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace laburnumkeel::transport {

// A call of an HTTP service.
struct HttpCall {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  // Without an answer in this time the connection is closed.
  std::chrono::milliseconds timeout{1000};
};

// `status` is 0 when no complete answer arrived: the call may have been
// performed, or may still be.
struct HttpAnswer {
  static constexpr int kOk = 200;

  int status = 0;
  std::string body;
};

// One keep-alive connection to an HTTP server on an event loop, with one call
// at a time. A call is sent once: a failure is reported, never retried.
class HttpChannel {
 public:
  using Handler = std::function<void(const HttpAnswer& answer)>;

  // `address` is `IP:port`.
  HttpChannel(boost::asio::io_context& loop, std::string address);
  ~HttpChannel();
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;

  // Starts a call; no other one may be under way.
  void Send(const HttpCall& call, Handler handler);

  bool IsBusy() const;

 private:
  class Exchange;

  boost::asio::io_context& loop;
  const std::string address;
  std::shared_ptr<Exchange> exchange;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CHANNEL_H_
