#ifndef LABURNUMKEEL_PEER_THRIFT_SERVER_H_
#define LABURNUMKEEL_PEER_THRIFT_SERVER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}  // namespace apache::thrift

namespace laburnumkeel::peer {

struct ThriftServerLimits {
  // At most a third of the descriptors of the process. Clients beyond the limit
  // wait until another one leaves.
  std::int64_t maximum_connections = 2000;
  // Clients close connections that are idle for `kMaximumIdleTime`
  // (thrift_client.h). A connection is closed when nothing arrives, or nothing
  // is taken, for these times.
  std::chrono::milliseconds receive_timeout{30000};
  std::chrono::milliseconds send_timeout{10000};

  bool operator==(const ThriftServerLimits&) const = default;
};

// Serves one Thrift processor with a thread for each connection.
class ThriftServer {
 public:
  ThriftServer(std::string address,
               std::shared_ptr<apache::thrift::TProcessor> processor,
               const ThriftServerLimits& limits = {});
  ~ThriftServer();
  ThriftServer(const ThriftServer&) = delete;
  ThriftServer& operator=(const ThriftServer&) = delete;

  // Returns false when the address cannot be bound.
  bool Start();

  // Closes all connections and returns when the calls in progress have ended.
  void Stop();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_THRIFT_SERVER_H_
