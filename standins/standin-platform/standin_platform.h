#ifndef LABURNUMKEEL_STANDINS_PLATFORM_STANDIN_PLATFORM_H_
#define LABURNUMKEEL_STANDINS_PLATFORM_STANDIN_PLATFORM_H_

#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/transport/http_server.h"
#include "standins/common/standin_server.h"
#include "standins/standin-platform/platform_calls.h"
#include "standins/standin-platform/platform_settings.h"

namespace laburnumkeel::standins {

// Table service, object store and VM list with their faults port. Needs
// settings whose lists are well formed.
class StandinPlatform final : public kernel::Service {
 public:
  explicit StandinPlatform(const PlatformSettings& settings);
  ~StandinPlatform() override;

  bool Start() override;
  void Stop() override;

 private:
  ConnectionHandler MakeHandler();
  void AddFaultPortRoutes();

  PlatformCalls calls;
  StandinServer server;
  transport::HttpServer faults_server;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_PLATFORM_STANDIN_PLATFORM_H_
