#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_THRIFT_SERVICE_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_THRIFT_SERVICE_H_

#include <memory>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/peer/thrift_server.h"

namespace laburnumkeel::control {

// Adapts a Thrift server to a service of the kernel.
class ThriftService : public kernel::Service {
 public:
  static constexpr char kPeerName[] = "peer_server";
  static constexpr char kLocalName[] = "local_server";

  ThriftService(std::string address,
                std::shared_ptr<apache::thrift::TProcessor> processor,
                const peer::ThriftServerLimits& limits)
      : server(std::move(address), std::move(processor), limits) {}

  bool Start() override { return this->server.Start(); }
  void Stop() override { this->server.Stop(); }

 private:
  peer::ThriftServer server;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_THRIFT_SERVICE_H_
