#ifndef LABURNUMKEEL_TESTS_SUPPORT_FIXED_RESPONSE_SERVER_H_
#define LABURNUMKEEL_TESTS_SUPPORT_FIXED_RESPONSE_SERVER_H_

#include <mutex>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/transport/http_server.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::testing {

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
