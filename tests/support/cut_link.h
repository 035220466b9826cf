#ifndef LABURNUMKEEL_TESTS_SUPPORT_CUT_LINK_H_
#define LABURNUMKEEL_TESTS_SUPPORT_CUT_LINK_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/transport/socket_address.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::testing {

// A TCP relay on an event loop whose path can be cut. What a client has sent
// while it is cut arrives when it heals, also when the client has closed the
// connection or its process has ended. A client that resets the connection
// withdraws what is held up.
class CutLink {
 public:
  CutLink(boost::asio::io_context& loop, const std::string& target)
      : loop(loop),
        address(FreeAddress()),
        target(*transport::ParseSocketAddress(target)),
        acceptor(loop, *transport::ParseSocketAddress(this->address)) {
    this->Accept();
  }

  const std::string& Address() const { return this->address; }

  void Cut() { this->is_cut = true; }

  void Heal() {
    this->is_cut = false;
    for (const auto& relay : this->relays) {
      relay->Forward();
    }
  }

  // Number of bytes that clients have sent, whether or not they were forwarded.
  std::size_t SentBytes() const { return this->sent_bytes; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  class Relay : public std::enable_shared_from_this<Relay> {
   public:
    Relay(CutLink& link, Socket client, Socket server)
        : link(link), client(std::move(client)), server(std::move(server)) {}

    void Start() {
      this->ReadRequest();
      this->ReadResponse();
    }

    void Forward() {
      if (this->link.is_cut || !this->server.is_open()) {
        return;
      }
      boost::system::error_code error;
      boost::asio::write(this->server, boost::asio::buffer(this->held), error);
      this->held.clear();
      if (this->has_client_ended) {
        this->server.shutdown(Socket::shutdown_send, error);
      }
    }

   private:
    void ReadRequest() {
      this->client.async_read_some(
          boost::asio::buffer(this->request),
          [self = this->shared_from_this()](boost::system::error_code error,
                                            std::size_t size) {
            self->OnRequest(error, size);
          });
    }

    void OnRequest(boost::system::error_code error, std::size_t size) {
      this->held.append(this->request.data(), size);
      this->link.sent_bytes += size;
      if (error && error != boost::asio::error::eof) {
        this->held.clear();
        this->server.close();
        return;
      }
      this->has_client_ended = static_cast<bool>(error);
      this->Forward();
      if (!this->has_client_ended) {
        this->ReadRequest();
      }
    }

    void ReadResponse() {
      this->server.async_read_some(
          boost::asio::buffer(this->response),
          [self = this->shared_from_this()](boost::system::error_code error,
                                            std::size_t size) {
            if (error || self->link.is_cut) {
              return;
            }
            boost::asio::write(
                self->client, boost::asio::buffer(self->response, size), error);
            self->ReadResponse();
          });
    }

    CutLink& link;
    Socket client;
    Socket server;
    std::array<char, 4096> request;
    std::array<char, 4096> response;
    std::string held;
    bool has_client_ended = false;
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
            auto relay = std::make_shared<Relay>(*this, std::move(client),
                                                 std::move(server));
            this->relays.push_back(relay);
            relay->Start();
          }
          this->Accept();
        });
  }

  boost::asio::io_context& loop;
  const std::string address;
  const boost::asio::ip::tcp::endpoint target;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<std::shared_ptr<Relay>> relays;
  std::size_t sent_bytes = 0;
  bool is_cut = false;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_CUT_LINK_H_
