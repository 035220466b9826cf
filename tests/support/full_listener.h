#ifndef LABURNUMKEEL_TESTS_SUPPORT_FULL_LISTENER_H_
#define LABURNUMKEEL_TESTS_SUPPORT_FULL_LISTENER_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace laburnumkeel::testing {

// A server whose queue of new connections is full, so that the opening packet
// of the next one is dropped and sent again after a second. Once it accepts, it
// counts the bytes that it receives and answers nothing.
class FullListener {
 public:
  explicit FullListener(boost::asio::io_context& loop)
      : acceptor(loop), first(loop) {
    const boost::asio::ip::tcp::endpoint any(
        boost::asio::ip::address_v4::loopback(), 0);
    this->acceptor.open(any.protocol());
    this->acceptor.bind(any);
    // Linux queues one connection more than the given number.
    this->acceptor.listen(0);
    this->first.connect(this->acceptor.local_endpoint());
  }

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  void StartAccepting() {
    this->acceptor.async_accept([this](boost::system::error_code error,
                                       boost::asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      ++this->accepted;
      this->Read(
          std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket)));
      this->StartAccepting();
    });
  }

  // Connections accepted besides the one that fills the queue.
  int Accepted() const { return this->accepted - 1; }

  std::size_t ReceivedBytes() const { return this->received_bytes; }

 private:
  void Read(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket) {
    socket->async_read_some(
        boost::asio::buffer(this->input),
        [this, socket](boost::system::error_code error, std::size_t size) {
          this->received_bytes += size;
          if (!error) {
            this->Read(socket);
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket first;
  std::array<char, 4096> input;
  int accepted = 0;
  std::size_t received_bytes = 0;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_FULL_LISTENER_H_
