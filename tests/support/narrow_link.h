#ifndef LABURNUMKEEL_TESTS_SUPPORT_NARROW_LINK_H_
#define LABURNUMKEEL_TESTS_SUPPORT_NARROW_LINK_H_

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "laburnumkeel/transport/socket_address.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::testing {

// A TCP relay on an event loop that carries only so many bytes of a response
// before its client gives up. The rest does not arrive, and the connection
// stays open. `pause` passes between two parts of at most 16 KiB.
class NarrowLink {
 public:
  NarrowLink(boost::asio::io_context& loop, const std::string& target,
             std::size_t response_bytes,
             std::chrono::milliseconds pause = std::chrono::milliseconds(0))
      : loop(loop),
        address(FreeAddress()),
        target(*transport::ParseSocketAddress(target)),
        response_bytes(response_bytes),
        pause(pause),
        acceptor(loop, *transport::ParseSocketAddress(this->address)) {
    this->Accept();
  }

  const std::string& Address() const { return this->address; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  class Relay : public std::enable_shared_from_this<Relay> {
   public:
    Relay(Socket client, Socket server, std::size_t response_bytes,
          std::chrono::milliseconds pause)
        : client(std::move(client)),
          server(std::move(server)),
          response_bytes(response_bytes),
          pause(pause),
          timer(this->client.get_executor()) {}

    void Start() {
      this->ReadRequest();
      this->ReadResponse();
    }

   private:
    void ReadRequest() {
      this->client.async_read_some(
          boost::asio::buffer(this->request),
          [self = this->shared_from_this()](boost::system::error_code error,
                                            std::size_t size) {
            if (error) {
              self->server.close();
              return;
            }
            self->forwarded = 0;
            boost::asio::async_write(
                self->server, boost::asio::buffer(self->request, size),
                [self](boost::system::error_code write_error, std::size_t) {
                  if (!write_error) {
                    self->ReadRequest();
                  }
                });
          });
    }

    void ReadResponse() {
      this->server.async_read_some(
          boost::asio::buffer(this->response),
          [self = this->shared_from_this()](boost::system::error_code error,
                                            std::size_t size) {
            if (error) {
              self->client.close();
              return;
            }
            const std::size_t allowed =
                std::min(size, self->response_bytes - self->forwarded);
            self->forwarded += allowed;
            boost::asio::async_write(
                self->client, boost::asio::buffer(self->response, allowed),
                [self](boost::system::error_code write_error, std::size_t) {
                  if (!write_error) {
                    self->timer.expires_after(self->pause);
                    self->timer.async_wait([self](boost::system::error_code) {
                      self->ReadResponse();
                    });
                  }
                });
          });
    }

    static constexpr std::size_t kBufferBytes = 16384;

    Socket client;
    Socket server;
    const std::size_t response_bytes;
    const std::chrono::milliseconds pause;
    boost::asio::steady_timer timer;
    // Bytes of the present response that the client was sent.
    std::size_t forwarded = 0;
    std::array<char, kBufferBytes> request{};
    std::array<char, kBufferBytes> response{};
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](boost::system::error_code error, Socket client) {
          if (error) {
            return;
          }
          Socket server(this->loop);
          server.connect(this->target, error);
          if (!error) {
            std::make_shared<Relay>(std::move(client), std::move(server),
                                    this->response_bytes, this->pause)
                ->Start();
          }
          this->Accept();
        });
  }

  boost::asio::io_context& loop;
  const std::string address;
  const boost::asio::ip::tcp::endpoint target;
  const std::size_t response_bytes;
  const std::chrono::milliseconds pause;
  boost::asio::ip::tcp::acceptor acceptor;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_NARROW_LINK_H_
