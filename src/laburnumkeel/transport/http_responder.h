#ifndef LABURNUMKEEL_TRANSPORT_HTTP_RESPONDER_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_RESPONDER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "laburnumkeel/transport/http_channel.h"

namespace laburnumkeel::transport {

// Answers HTTP requests at an address, on an event loop. For probes and
// metrics: requests have no body and are answered at once.
class HttpResponder {
 public:
  using Handler = std::function<HttpAnswer(const std::string& target)>;

  HttpResponder(boost::asio::io_context& loop, Handler handler);

  // Listens at `IP:port`. False when the address cannot be used.
  bool Listen(const std::string& address);

 private:
  void Accept();

  boost::asio::io_context& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  const Handler handler;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_RESPONDER_H_
