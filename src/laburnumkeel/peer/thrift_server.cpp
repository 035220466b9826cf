#include "laburnumkeel/peer/thrift_server.h"

#include <sys/resource.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <algorithm>
#include <cstdint>
#include <future>
#include <thread>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/peer/events.h"
#include "laburnumkeel/peer/thrift_address.h"

namespace laburnumkeel::peer {

namespace {

// Above the configuration document of 2,000 endpoints, the longest text of
// peers (about 1 MiB). The administration program takes as much.
constexpr int kMaximumTextBytes = 8 * 1024 * 1024;
// Elements of a list, set or map; each has at least one byte.
constexpr int kMaximumContainerSize = 1024 * 1024;

// Clients beyond the limit wait until another one leaves, and a connection on
// which nothing arrives for the receive time is closed, so that a crowd takes
// neither the descriptors nor the threads of the process for long.
std::shared_ptr<apache::thrift::transport::TServerSocket> MakeListener(
    const ThriftAddress& target, const ThriftServerLimits& limits) {
  auto listener = std::make_shared<apache::thrift::transport::TServerSocket>(
      target.ip, target.port);
  listener->setRecvTimeout(static_cast<int>(limits.receive_timeout.count()));
  listener->setSendTimeout(static_cast<int>(limits.send_timeout.count()));
  return listener;
}

// The Thrift server ends when it cannot accept, so connections leave
// descriptors free for a second server of the process and for its own calls.
std::int64_t ConnectionLimitOf(std::int64_t maximum) {
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  return std::max<std::int64_t>(
      1,
      std::min(maximum, static_cast<std::int64_t>(descriptors.rlim_cur / 3)));
}

// Signals when the server is listening.
class ReadyHandler : public apache::thrift::server::TServerEventHandler {
 public:
  void preServe() override { this->ready.set_value(true); }

  std::promise<bool> ready;
};

}  // namespace

struct ThriftServer::Implementation {
  std::string address;
  std::shared_ptr<apache::thrift::TProcessor> processor;
  ThriftServerLimits limits;
  std::unique_ptr<apache::thrift::server::TThreadedServer> server;
  std::thread thread;
};

ThriftServer::ThriftServer(
    std::string address, std::shared_ptr<apache::thrift::TProcessor> processor,
    const ThriftServerLimits& limits)
    : implementation(std::make_unique<Implementation>()) {
  this->implementation->address = std::move(address);
  this->implementation->processor = std::move(processor);
  this->implementation->limits = limits;
}

ThriftServer::~ThriftServer() { this->Stop(); }

bool ThriftServer::Start() {
  Implementation& state = *this->implementation;
  const ThriftAddress target = ParseThriftAddress(state.address);
  state.server = std::make_unique<apache::thrift::server::TThreadedServer>(
      state.processor, MakeListener(target, state.limits),
      std::make_shared<apache::thrift::transport::TBufferedTransportFactory>(),
      // A text of an announced length takes its memory before it arrives.
      std::make_shared<apache::thrift::protocol::TBinaryProtocolFactory>(
          kMaximumTextBytes, kMaximumContainerSize, false, true));
  state.server->setConcurrentClientLimit(
      ConnectionLimitOf(state.limits.maximum_connections));
  auto handler = std::make_shared<ReadyHandler>();
  state.server->setServerEventHandler(handler);
  auto ready = handler->ready.get_future();
  state.thread = std::thread([&state, handler] {
    try {
      state.server->serve();
    } catch (const apache::thrift::TException& error) {
      kernel::LogEvent(kThriftListenFailed,
                       {{"address", state.address}, {"reason", error.what()}});
      handler->ready.set_value(false);
    }
  });
  return ready.get();
}

void ThriftServer::Stop() {
  Implementation& state = *this->implementation;
  if (state.server != nullptr) {
    state.server->stop();
  }
  if (state.thread.joinable()) {
    state.thread.join();
  }
}

}  // namespace laburnumkeel::peer
