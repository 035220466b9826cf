#include "tests/hostile/proxy_process.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>
#include <thread>

#include "laburnumkeel/transport/socket_address.h"
#include "tests/support/free_port.h"
#include "tests/support/process_usage.h"

namespace laburnumkeel::testing {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds kPatience{20};
constexpr milliseconds kAnswerPatience{5000};
constexpr milliseconds kRetryPause{50};
constexpr std::size_t kLargeRow = std::size_t{1} << 18;
constexpr std::size_t kLogTail = 2000;
constexpr std::size_t kOrdinarySize = 20;

std::filesystem::path MakeFolder() {
  std::string folder =
      (std::filesystem::temp_directory_path() / "hostile-XXXXXX").string();
  return mkdtemp(folder.data());
}

// Sends bytes and returns what arrives until it ends in `end`, the connection
// is closed, or nothing arrived for a while.
std::string Exchange(asio::ip::tcp::socket& socket, asio::io_context& loop,
                     const std::string& bytes, const std::string& end) {
  std::string received;
  std::array<char, 4096> buffer;
  std::function<void()> read = [&] {
    socket.async_read_some(
        asio::buffer(buffer),
        [&](boost::system::error_code error, std::size_t size) {
          received.append(buffer.data(), size);
          if (!error && !received.ends_with(end)) {
            read();
          }
        });
  };
  asio::async_write(socket, asio::buffer(bytes),
                    [](boost::system::error_code, std::size_t) {});
  read();
  loop.restart();
  loop.run_for(kAnswerPatience);
  return received;
}

}  // namespace

ProxyProcess::ProxyProcess(const nlohmann::json& settings)
    : folder(MakeFolder()),
      client_address(FreeAddress()),
      readiness_address(FreeAddress()),
      peer_address(FreeAddress()) {
  this->store = std::make_unique<FakeStore>(this->loop);
  this->database = std::make_unique<FakeDatabase>(this->loop);
  this->database->SetScript(
      [this](std::string_view line) { return this->Answer(line); });
  this->store->Put("op", "config",
                   {{"version", 1},
                    {"routes",
                     {{{"host", "db"},
                       {"service", "s"},
                       {"kind", "primary"},
                       {"public", true},
                       {"timeout_ms", 2000},
                       {"target_latency_ms", 1000}}}},
                    {"services", {{{"name", "s"}, {"max_connections", 20}}}},
                    {"tenants", nlohmann::json::array()},
                    {"limits", {{"transaction_idle_ms", 1000}}}});
  this->store->Put("servers", "i-1",
                   {{"service", "s"},
                    {"address", this->database->Address()},
                    {"zone", "dc"},
                    {"slots", 3},
                    {"version", "v1"},
                    {"cold_remaining_ms", 0},
                    {"sequence", 1},
                    {"state", "ready"},
                    {"database_role", "primary"},
                    {"born", 1}});
  nlohmann::json file = {
      {"vm", "vm-1"},
      {"ip", "127.0.0.1"},
      {"data_centre", "dc"},
      {"region", "r"},
      {"regions", {{"dc", "r"}}},
      {"client_address", this->client_address},
      {"readiness_address", this->readiness_address},
      {"store_address", this->store->Address()},
      {"promotion_address", FreeAddress()},
      {"peer_port",
       std::atoi(&this->peer_address[this->peer_address.find(':') + 1])}};
  file.update(settings);
  const std::string path = this->folder / "settings.json";
  std::ofstream(path) << file.dump();
  // Started before the thread, since the process takes over open descriptors.
  this->process = std::make_unique<standin::ChildProcess>(
      std::vector<std::string>{
          std::string(BINARY_FOLDER) + "/laburnumkeel-proxy",
          "--config=" + path},
      this->folder / "log");
  this->thread = std::make_unique<LoopThread>(this->loop);
  this->AwaitReadiness();
}

ProxyProcess::~ProxyProcess() {
  this->process.reset();
  this->thread.reset();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::size_t ProxyProcess::PeakMemoryBytes() const {
  return testing::PeakMemoryBytes(this->process->Id());
}

std::size_t ProxyProcess::OpenDescriptors() const {
  return testing::OpenDescriptors(this->process->Id());
}

std::string ProxyProcess::Answer(std::string_view line) {
  const auto contains = [&](std::string_view word) {
    return line.find(word) != std::string_view::npos;
  };
  if (contains(" WRITE hold")) {
    return FakeDatabase::kSilence;
  }
  if (contains(" STATUS")) {
    return "DATAROW primary 1 1.5 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.5\r\n";
  }
  if (contains(" WRITE large")) {
    return "DATAROW " + std::string(kLargeRow, 'x') + "\r\n" +
           this->database->Succeed(line);
  }
  return this->database->Succeed(line);
}

bool ProxyProcess::ServesOneStatement(std::size_t size) const {
  const auto end = steady_clock::now() + kPatience;
  while (steady_clock::now() < end) {
    if (this->TryStatement(size)) {
      return true;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

bool ProxyProcess::TryStatement(std::size_t size) const {
  asio::io_context own_loop;
  asio::ip::tcp::socket socket(own_loop);
  boost::system::error_code error;
  const auto target = transport::ParseSocketAddress(this->client_address);
  if (socket.connect(*target, error)) {
    return false;
  }
  if (Exchange(socket, own_loop, "STARTUP db\r\n", "\r\n") != "READY I -\r\n") {
    return false;
  }
  std::string statement = "QUERY 1 WRITE a ";
  statement += std::string(size - std::min(size, statement.size()), 'x');
  const std::string answer =
      Exchange(socket, own_loop, statement + "\r\n", "READY I 1.5\r\n");
  return answer == "COMPLETE sig\r\nREADY I 1.5\r\n";
}

void ProxyProcess::AwaitReadiness() {
  const auto end = steady_clock::now() + kPatience;
  while (this->IsRunning() && steady_clock::now() < end) {
    if (this->TryStatement(kOrdinarySize)) {
      return;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  throw std::runtime_error("the proxy does not serve clients; its log ends " +
                           this->LogTail());
}

std::string ProxyProcess::LogTail() const {
  std::ifstream log(this->folder / "log");
  const std::string text{std::istreambuf_iterator<char>(log), {}};
  return text.substr(text.size() - std::min(text.size(), kLogTail));
}

}  // namespace laburnumkeel::testing
