#include "laburnumkeel/peer/thrift_server.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <future>
#include <thread>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/peer/events.h"
#include "laburnumkeel/peer/thrift_address.h"

namespace laburnumkeel::peer {

namespace {

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
  std::unique_ptr<apache::thrift::server::TThreadedServer> server;
  std::thread thread;
};

ThriftServer::ThriftServer(
    std::string address, std::shared_ptr<apache::thrift::TProcessor> processor)
    : implementation(std::make_unique<Implementation>()) {
  this->implementation->address = std::move(address);
  this->implementation->processor = std::move(processor);
}

ThriftServer::~ThriftServer() { this->Stop(); }

bool ThriftServer::Start() {
  Implementation& state = *this->implementation;
  const ThriftAddress target = ParseThriftAddress(state.address);
  state.server = std::make_unique<apache::thrift::server::TThreadedServer>(
      state.processor,
      std::make_shared<apache::thrift::transport::TServerSocket>(target.ip,
                                                                 target.port),
      std::make_shared<apache::thrift::transport::TBufferedTransportFactory>(),
      std::make_shared<apache::thrift::protocol::TBinaryProtocolFactory>());
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
