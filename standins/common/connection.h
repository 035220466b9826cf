#ifndef LABURNUMKEEL_STANDINS_COMMON_CONNECTION_H_
#define LABURNUMKEEL_STANDINS_COMMON_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "laburnumkeel/transport/http_message.h"
#include "standins/common/connection_handler.h"
#include "standins/common/fault_plan.h"
#include "standins/common/latency_table.h"
#include "standins/common/received_bytes.h"

namespace laburnumkeel::standins {

// The dependencies that all connections of a server share.
struct ConnectionEnvironment {
  FaultPlan& faults;
  ReceivedBytes& received;
  const LatencyTable& latencies;
  // Time before a new connection is served.
  std::chrono::milliseconds connect_delay;
};

// One accepted HTTP/1.1 connection, served by a thread of its own so that
// blocking, cutting or delaying it does not affect others.
class Connection {
 public:
  Connection(boost::asio::ip::tcp::socket socket, std::uint64_t number,
             const ConnectionEnvironment& environment,
             ConnectionHandler handler);

  // Serves requests until the connection is closed.
  void Serve();

  // Makes `Serve` return. May be called by another thread.
  void Shutdown();

 private:
  std::optional<transport::HttpRequest> Read();
  // False when the connection has to be closed.
  bool Respond(const transport::HttpRequest& request);
  bool Write(const std::string& text);

  // Waits for `time`; false when the connection was closed meanwhile.
  bool Pause(std::chrono::milliseconds time);
  // Waits while `condition` holds; false when the connection was closed.
  bool WaitWhile(const std::function<bool()>& condition);
  // Waits while a fault suppresses responses; false when the connection has to
  // be closed.
  bool WaitWhileSilenced(const Origin& origin);

  void Close();
  // Closes with a TCP reset to the peer.
  void Reset();

  boost::asio::ip::tcp::socket socket;
  const std::uint64_t number;
  const ConnectionEnvironment environment;
  ConnectionHandler handler;
  boost::beast::flat_buffer buffer;
  // Guards closing of the socket against `Shutdown` by another thread.
  std::mutex close_mutex;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_CONNECTION_H_
