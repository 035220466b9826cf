#ifndef LABURNUMKEEL_TESTS_SUPPORT_FIXED_RESPONSE_SERVER_H_
#define LABURNUMKEEL_TESTS_SUPPORT_FIXED_RESPONSE_SERVER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/transport/http_server.h"

namespace laburnumkeel::testing {

// `IP:port` of a loopback port that was free at the time of the call.
inline std::string FreeAddress() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  const bool bound =
      bind(socket, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
      getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  close(socket);
  if (!bound) {
    throw std::runtime_error("no free port");
  }
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// HTTP server that sends the same response to every request and records the
// requests.
class FixedResponseServer {
 public:
  explicit FixedResponseServer(transport::HttpResponse response)
      : address(FreeAddress()),
        response(std::move(response)),
        server(this->address, transport::ServerLimits{}) {
    this->server.SetDefault([this](const transport::HttpRequest& request) {
      const std::lock_guard lock(this->mutex);
      this->requests.push_back(request);
      return this->response;
    });
    if (!this->server.Start()) {
      throw std::runtime_error("cannot listen on " + this->address);
    }
  }

  const std::string& Address() const { return this->address; }

  std::vector<transport::HttpRequest> Requests() {
    const std::lock_guard lock(this->mutex);
    return this->requests;
  }

 private:
  const std::string address;
  const transport::HttpResponse response;
  std::mutex mutex;
  std::vector<transport::HttpRequest> requests;
  transport::HttpServer server;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_FIXED_RESPONSE_SERVER_H_
