#ifndef LABURNUMKEEL_STANDINS_COMMON_STANDIN_SERVER_H_
#define LABURNUMKEEL_STANDINS_COMMON_STANDIN_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/common/connection.h"

namespace laburnumkeel::standins {

struct StandinServerOptions {
  // `IP:port`.
  std::string address;
  std::chrono::milliseconds connect_delay{0};
  LatencyTable latencies;
  bool record_received = false;
  // Paths that faults of single requests affect by default; empty for all.
  std::vector<std::string> fault_paths;
};

// HTTP/1.1 server with a blocking thread for each connection, which injects
// faults and latency.
class StandinServer {
 public:
  StandinServer(StandinServerOptions options, ConnectionHandlerFactory factory);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  // Returns false when the address cannot be bound.
  bool Start();

  // Closes all connections and returns when their threads have ended.
  void Stop();

  // Replaces the fault and returns when it is in effect.
  void SetFault(const Fault& fault);

  const FaultPlan& Faults() const { return this->faults; }
  const ReceivedBytes& Received() const { return this->received; }

 private:
  struct ServedConnection {
    std::unique_ptr<Connection> connection;
    std::atomic<bool> ended = false;
    std::thread thread;
  };

  bool Listen();
  void AcceptLoop();
  void AcceptOne();
  void ShutdownConnections();
  // Joins the threads of closed connections, or of all.
  void Reap(bool all);
  void ReportListening(bool value);

  const StandinServerOptions options;
  const ConnectionHandlerFactory factory;
  FaultPlan faults;
  ReceivedBytes received;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor{this->context};
  std::atomic<bool> stopping = false;
  std::atomic<std::uint64_t> last_connection = 0;
  std::mutex mutex;
  std::condition_variable changed;
  bool listening = false;
  // Used by the accept thread, and by `Stop` after that thread has ended.
  std::list<ServedConnection> connections;
  std::thread accept_thread;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_STANDIN_SERVER_H_
