#ifndef LABURNUMKEEL_TESTS_HOSTILE_PROXY_PROCESS_H_
#define LABURNUMKEEL_TESTS_HOSTILE_PROXY_PROCESS_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/standin-fleet/child_process.h"
#include "tests/support/fake_database.h"
#include "tests/support/fake_store.h"
#include "tests/support/loop_thread.h"

namespace laburnumkeel::testing {

// The program laburnumkeel-proxy in a process of its own, with lowered limits,
// next to a store and a database that run on a thread of the test.
//
// The database answers `WRITE hold` never, `WRITE large` with a row of 256 KiB
// and everything else with success.
class ProxyProcess {
 public:
  // `settings` are added to the usual ones or replace them. Throws when the
  // program does not serve clients in time, with the end of its log.
  explicit ProxyProcess(const nlohmann::json& settings);
  ~ProxyProcess();
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  const std::string& ClientAddress() const { return this->client_address; }
  const std::string& ReadinessAddress() const {
    return this->readiness_address;
  }
  const std::string& PeerAddress() const { return this->peer_address; }

  bool IsRunning() { return this->process->IsRunning(); }
  std::size_t PeakMemoryBytes() const;
  std::size_t OpenDescriptors() const;

  // True when a new client gets a statement of `size` bytes executed. Tries
  // again after a refusal or a closed connection, as clients do, and gives up
  // after 20 s.
  bool ServesOneStatement(std::size_t size = 20) const;

 private:
  bool TryStatement(std::size_t size) const;
  void AwaitReadiness();
  // The end of what the program has logged.
  std::string LogTail() const;
  std::string Answer(std::string_view line);

  const std::filesystem::path folder;
  const std::string client_address;
  const std::string readiness_address;
  const std::string peer_address;
  boost::asio::io_context loop;
  std::unique_ptr<FakeStore> store;
  std::unique_ptr<FakeDatabase> database;
  std::unique_ptr<standin::ChildProcess> process;
  std::unique_ptr<LoopThread> thread;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_HOSTILE_PROXY_PROCESS_H_
