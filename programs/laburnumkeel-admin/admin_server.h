#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_SERVER_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_SERVER_H_

#include <atomic>
#include <chrono>

#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/transport/http_server.h"
#include "programs/laburnumkeel-admin/admin_api.h"
#include "programs/laburnumkeel-admin/admin_settings.h"
#include "programs/laburnumkeel-admin/thrift_local_control.h"

namespace laburnumkeel::admin {

// Waits between the attempts of a configuration change.
struct AttemptPause {
  void operator()() const;
};

// Serves the administration API and the public routes /healthz and /readyz.
class AdminServer : public kernel::Service {
 public:
  explicit AdminServer(const AdminSettings& settings);

  bool Start() override;
  void Stop() override;

 private:
  const std::chrono::milliseconds shutdown_grace;
  std::atomic<bool> ready{false};
  ThriftLocalControl control;
  AdminApi<ThriftLocalControl, AttemptPause> api;
  transport::HttpServer server;
};

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_ADMIN_SERVER_H_
