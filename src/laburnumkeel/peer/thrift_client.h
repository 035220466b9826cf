#ifndef LABURNUMKEEL_PEER_THRIFT_CLIENT_H_
#define LABURNUMKEEL_PEER_THRIFT_CLIENT_H_

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <type_traits>
#include <utility>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/peer/peer_error.h"
#include "laburnumkeel/peer/thrift_address.h"

namespace laburnumkeel::peer {

// Servers close connections on which nothing arrives for 30 s by default.
inline constexpr std::chrono::seconds kMaximumIdleTime{20};

// Calls one Thrift server over a persistent connection. `Generated` is a client
// class of peer.thrift. Thread-safe; calls run one after the other.
template <class Generated>
class ThriftClient {
 public:
  ThriftClient(std::string address, std::chrono::milliseconds timeout)
      : address(std::move(address)), timeout(timeout) {}

  // Runs `call(client)`. A failed call closes the connection and is not
  // retried; the server may have executed it.
  template <class Call>
  auto Run(Call call)
      -> kernel::Result<std::invoke_result_t<Call, Generated&>, PeerError> {
    const std::lock_guard lock(this->mutex);
    if (this->clock.Now() - this->used_at >= kMaximumIdleTime) {
      this->client.reset();
    }
    try {
      this->Connect();
      this->used_at = this->clock.Now();
      return call(*this->client);
    } catch (const apache::thrift::TException& error) {
      this->client.reset();
      return PeerError{this->address, error.what()};
    }
  }

  const std::string& Address() const { return this->address; }

 private:
  void Connect() {
    if (this->client != nullptr) {
      return;
    }
    const ThriftAddress target = ParseThriftAddress(this->address);
    auto socket = std::make_shared<apache::thrift::transport::TSocket>(
        target.ip, target.port);
    const int milliseconds = static_cast<int>(this->timeout.count());
    socket->setConnTimeout(milliseconds);
    socket->setSendTimeout(milliseconds);
    socket->setRecvTimeout(milliseconds);
    socket->setNoDelay(true);
    auto buffered =
        std::make_shared<apache::thrift::transport::TBufferedTransport>(socket);
    buffered->open();
    this->client = std::make_unique<Generated>(
        std::make_shared<apache::thrift::protocol::TBinaryProtocol>(buffered));
  }

  const std::string address;
  const std::chrono::milliseconds timeout;
  std::mutex mutex;
  std::unique_ptr<Generated> client;
  const kernel::BootClock clock{};
  kernel::Instant used_at{};
};

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_THRIFT_CLIENT_H_
