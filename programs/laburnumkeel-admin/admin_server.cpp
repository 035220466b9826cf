#include "programs/laburnumkeel-admin/admin_server.h"

#include <thread>

namespace laburnumkeel::admin {

namespace {

constexpr std::chrono::milliseconds kAttemptPause(100);

// Operators and their programs use few connections; a complete configuration
// with 2,000 endpoints takes about 1 MiB. The memory has room for four of the
// longest bodies.
constexpr transport::ServerLimits kLimits{64, std::size_t{8} * 1024 * 1024, 60,
                                          std::size_t{40} * 1024 * 1024};

}  // namespace

void AttemptPause::operator()() const {
  std::this_thread::sleep_for(kAttemptPause);
}

AdminServer::AdminServer(const AdminSettings& settings)
    : shutdown_grace(settings.shutdown_grace_ms),
      control(settings.control_address,
              std::chrono::milliseconds(settings.control_timeout_ms)),
      api(this->control, AttemptPause{}, settings.admin_secret),
      server(settings.listen, kLimits) {
  this->server.AddRoute("GET", "/healthz", [](const auto& /*request*/) {
    return transport::HttpResponse{200, {}, "ok"};
  });
  this->server.AddRoute("GET", "/readyz", [this](const auto& /*request*/) {
    return this->ready ? transport::HttpResponse{200, {}, "ready"}
                       : transport::HttpResponse{503, {}, "stopping"};
  });
  for (AdminRoute& route : this->api.Routes()) {
    this->server.AddRoute(route.method, route.path, std::move(route.handler));
  }
  this->server.SetDefault([](const transport::HttpRequest& request) {
    return ToResponse(
        NotFound("no route " + request.method + " " + request.target));
  });
}

bool AdminServer::Start() {
  const bool started = this->server.Start();
  this->ready = started;
  return started;
}

void AdminServer::Stop() {
  this->ready = false;
  std::this_thread::sleep_for(this->shutdown_grace);
  this->server.Stop();
}

}  // namespace laburnumkeel::admin
