#include "standins/common/standin_server.h"

#include <glog/logging.h>
#include <poll.h>

#include <cstdlib>
#include <utility>

namespace laburnumkeel::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int kAcceptPollMs = 5;
constexpr int kBacklog = 512;
constexpr std::chrono::seconds kFaultTimeout{2};

}  // namespace

StandinServer::StandinServer(StandinServerOptions options,
                             ConnectionHandlerFactory factory)
    : options(std::move(options)),
      factory(std::move(factory)),
      faults(this->options.fault_paths),
      received(this->options.record_received) {}

StandinServer::~StandinServer() { this->Stop(); }

bool StandinServer::Start() {
  if (!this->Listen()) {
    return false;
  }
  this->listening = true;
  this->accept_thread = std::thread([this] { this->AcceptLoop(); });
  return true;
}

void StandinServer::Stop() {
  this->stopping = true;
  if (this->accept_thread.joinable()) {
    this->accept_thread.join();
  }
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->ShutdownConnections();
  this->Reap(true);
}

void StandinServer::SetFault(const Fault& fault) {
  this->faults.Set(fault, this->last_connection);
  LOG(INFO) << "fault " << ToString(fault.mode) << " on "
            << this->options.address;
  std::unique_lock lock(this->mutex);
  const bool expected = fault.mode != FaultMode::kDown;
  if (!this->changed.wait_for(lock, kFaultTimeout,
                              [&] { return this->listening == expected; })) {
    LOG(ERROR) << "the listener on " << this->options.address
               << " did not open or close within 2 s after a fault was set";
  }
}

bool StandinServer::Listen() {
  const std::string& address = this->options.address;
  const std::size_t colon = address.rfind(':');
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (!error) {
    const tcp::endpoint endpoint(
        ip, static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    this->acceptor.open(endpoint.protocol(), error);
    if (!error) {
      this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
      this->acceptor.bind(endpoint, error);
    }
    if (!error) {
      this->acceptor.listen(kBacklog, error);
    }
  }
  if (error) {
    LOG(ERROR) << "cannot listen on " << address << ": " << error.message();
    this->acceptor.close(error);
    return false;
  }
  // Accepting must not block when a connection was closed before `accept`.
  this->acceptor.non_blocking(true, error);
  return true;
}

void StandinServer::AcceptLoop() {
  while (!this->stopping) {
    this->Reap(false);
    if (this->faults.IsDown()) {
      boost::system::error_code ignored;
      this->acceptor.close(ignored);
      this->ShutdownConnections();
      this->ReportListening(false);
      std::this_thread::sleep_for(std::chrono::milliseconds(kAcceptPollMs));
      continue;
    }
    if (!this->acceptor.is_open() && !this->Listen()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kAcceptPollMs));
      continue;
    }
    this->ReportListening(true);
    pollfd descriptor{this->acceptor.native_handle(), POLLIN, 0};
    if (poll(&descriptor, 1, kAcceptPollMs) > 0) {
      this->AcceptOne();
    }
  }
}

void StandinServer::AcceptOne() {
  boost::system::error_code error;
  tcp::socket socket(this->context);
  this->acceptor.accept(socket, error);
  if (error) {
    return;
  }
  ServedConnection& served = this->connections.emplace_back();
  served.connection = std::make_unique<Connection>(
      std::move(socket), ++this->last_connection,
      ConnectionEnvironment{this->faults, this->received,
                            this->options.latencies,
                            this->options.connect_delay},
      this->factory());
  served.thread = std::thread([&served] {
    served.connection->Serve();
    served.ended = true;
  });
}

void StandinServer::ShutdownConnections() {
  for (ServedConnection& served : this->connections) {
    served.connection->Shutdown();
  }
}

void StandinServer::Reap(bool all) {
  for (auto served = this->connections.begin();
       served != this->connections.end();) {
    if (all || served->ended) {
      served->thread.join();
      served = this->connections.erase(served);
    } else {
      ++served;
    }
  }
}

void StandinServer::ReportListening(bool value) {
  const std::lock_guard lock(this->mutex);
  if (this->listening != value) {
    this->listening = value;
    this->changed.notify_all();
  }
}

}  // namespace laburnumkeel::standins
