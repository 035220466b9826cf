#include "tests/support/scripted_server.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <utility>

#include "laburnumkeel/model/endpoint_status.h"

namespace laburnumkeel::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr int kPollIntervalMs = 10;

std::string DefaultBody(const ReceivedRequest& request) {
  const auto document = nlohmann::json::parse(request.body);
  return nlohmann::json{{"request_id", document.at("request_id")},
                        {"term", 3},
                        {"position", 7},
                        {"result", document.value("statement", "")}}
      .dump();
}

std::string WithResult(const std::string& body, const std::string& result) {
  const auto document = nlohmann::json::parse(body);
  return R"({"request_id":)" + document.at("request_id").dump() +
         R"(,"term":3,"position":7,"result":)" + result + "}";
}

// The body that `reply` sends instead of the normal response `body`.
std::string ScriptedBody(Reply reply, const std::string& body) {
  constexpr std::size_t kOversizedBytes = std::size_t{2} * 1024 * 1024;
  constexpr std::size_t kNesting = 100000;
  switch (reply) {
    case Reply::kWrongRequestId: {
      auto document = nlohmann::json::parse(body);
      document["request_id"] = "another-request";
      return document.dump();
    }
    case Reply::kOversized:
      return WithResult(body, '"' + std::string(kOversizedBytes, 'x') + '"');
    case Reply::kDeeplyNested:
      return WithResult(
          body, std::string(kNesting, '[') + std::string(kNesting, ']'));
    case Reply::kNotJson:
    case Reply::kServerError:
      return "failure";
    default:
      return body;
  }
}

// Whether the client has not closed the connection. A connection that it closed
// must not count as open, even if the thread that serves it has not detected
// this yet.
bool IsOpenAtClient(int socket) {
  char byte = 0;
  const ssize_t count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count > 0 || (count < 0 && errno == EAGAIN);
}

int WaitMilliseconds(const std::string& target) {
  const std::string name = "wait_ms=";
  const std::size_t start = target.find(name);
  return start == std::string::npos
             ? 0
             : std::atoi(target.c_str() + start + name.size());
}

}  // namespace

struct ScriptedServer::Implementation {
  explicit Implementation(const std::string& endpoint)
      : status{endpoint,
               "group-1",
               model::EndpointRole::kPrimary,
               3,
               model::LogPosition{3, 7},
               7,
               0,
               {model::TermStart{3, 0}}},
        acceptor(this->context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        address("127.0.0.1:" +
                std::to_string(this->acceptor.local_endpoint().port())),
        thread([this] { this->Accept(); }) {}

  ~Implementation() {
    this->stopping = true;
    this->thread.join();
    this->CloseConnections();
    for (std::thread& connection : this->connections) {
      connection.join();
    }
  }

  void Accept() {
    while (!this->stopping && this->listening) {
      pollfd poll_entry{this->acceptor.native_handle(), POLLIN, 0};
      if (poll(&poll_entry, 1, kPollIntervalMs) <= 0) {
        continue;
      }
      boost::system::error_code error;
      tcp::socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (error) {
        continue;
      }
      const std::lock_guard lock(this->mutex);
      this->open.insert(socket.native_handle());
      this->maximum_open =
          std::max(this->maximum_open,
                   static_cast<std::size_t>(std::count_if(
                       this->open.begin(), this->open.end(), IsOpenAtClient)));
      this->connections.emplace_back(
          [this, accepted = std::move(socket)]() mutable {
            this->Serve(accepted);
            this->Close(accepted);
          });
    }
    this->acceptor.close();
    this->accepting = false;
  }

  void Close(tcp::socket& socket) {
    const std::lock_guard lock(this->mutex);
    this->open.erase(socket.native_handle());
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  void CloseConnections() {
    {
      const std::lock_guard lock(this->mutex);
      for (const int socket : this->open) {
        shutdown(socket, SHUT_RDWR);
      }
    }
    while (this->OpenConnections() > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  std::size_t OpenConnections() {
    const std::lock_guard lock(this->mutex);
    return this->open.size();
  }

  // Serves requests until the client or the script closes the connection.
  void Serve(tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    char first = 0;
    while (recv(socket.native_handle(), &first, 1, MSG_PEEK) == 1) {
      const bool is_status = first == 'G';
      const Reply planned = is_status ? this->status_reply : this->reply;
      if (planned == Reply::kCloseBeforeReading) {
        return;
      }
      http::request<http::string_body> message;
      boost::system::error_code error;
      http::read(socket, buffer, message, error);
      if (error || !this->Respond(socket, planned, this->Receive(message))) {
        return;
      }
    }
  }

  ReceivedRequest Receive(const http::request<http::string_body>& message) {
    ReceivedRequest request{std::string(message.target()), {}, message.body()};
    for (const auto& field : message) {
      request.headers[std::string(field.name_string())] =
          std::string(field.value());
    }
    const std::lock_guard lock(this->mutex);
    if (message.method() == http::verb::get) {
      ++this->status_calls;
    } else {
      this->received.push_back(request);
    }
    return request;
  }

  // Returns false when the caller must close the connection.
  bool Respond(tcp::socket& socket, Reply planned,
               const ReceivedRequest& request) {
    if (planned == Reply::kCloseAfterReading) {
      return false;
    }
    if (planned == Reply::kSilent) {
      return true;
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(WaitMilliseconds(request.target)));
    const std::string body = ScriptedBody(planned, this->Body(request));
    const std::string response =
        (planned == Reply::kServerError ? "HTTP/1.1 500 Failure\r\n"
                                        : "HTTP/1.1 200 OK\r\n") +
        ("Content-Length: " + std::to_string(body.size())) + "\r\n\r\n" + body;
    switch (planned) {
      case Reply::kHalf:
        Send(socket, response.substr(0, response.size() / 2));
        return false;
      case Reply::kHalfThenSilent:
        return Send(socket, response.substr(0, response.size() / 2));
      case Reply::kLate:
        std::this_thread::sleep_for(kReplyDelay);
        return Send(socket, response);
      case Reply::kTwice:
        return Send(socket, response + response);
      case Reply::kTwiceLater:
        Send(socket, response);
        std::this_thread::sleep_for(kReplyDelay);
        return Send(socket, response);
      case Reply::kCompleteThenClose:
        Send(socket, response);
        return false;
      default:
        return Send(socket, response);
    }
  }

  std::string Body(const ReceivedRequest& request) {
    if (request.target.starts_with("/v1/status")) {
      return model::ToJson(this->status).dump();
    }
    Responder chosen;
    {
      const std::lock_guard lock(this->mutex);
      chosen = this->responder;
    }
    return chosen(request);
  }

  static bool Send(tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    return !error;
  }

  const model::EndpointStatus status;
  asio::io_context context;
  tcp::acceptor acceptor;
  const std::string address;
  std::atomic<Reply> reply = Reply::kComplete;
  std::atomic<Reply> status_reply = Reply::kComplete;
  std::atomic<bool> stopping = false;
  std::atomic<bool> listening = true;
  std::atomic<bool> accepting = true;
  std::mutex mutex;
  Responder responder = DefaultBody;
  std::vector<ReceivedRequest> received;
  std::size_t status_calls = 0;
  std::set<int> open;
  std::size_t maximum_open = 0;
  std::list<std::thread> connections;
  std::thread thread;
};

ScriptedServer::ScriptedServer(const std::string& endpoint)
    : implementation(std::make_unique<Implementation>(endpoint)) {}
ScriptedServer::~ScriptedServer() = default;

std::string ScriptedServer::Address() const {
  return this->implementation->address;
}

void ScriptedServer::SetReply(Reply reply) {
  this->implementation->reply = reply;
}

void ScriptedServer::SetStatusReply(Reply reply) {
  this->implementation->status_reply = reply;
}

void ScriptedServer::SetResponder(Responder responder) {
  const std::lock_guard lock(this->implementation->mutex);
  this->implementation->responder = std::move(responder);
}

void ScriptedServer::StopListening() {
  this->implementation->listening = false;
  while (this->implementation->accepting) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void ScriptedServer::CloseConnections() {
  this->implementation->CloseConnections();
}

std::vector<ReceivedRequest> ScriptedServer::Received() const {
  const std::lock_guard lock(this->implementation->mutex);
  return this->implementation->received;
}

std::size_t ScriptedServer::StatusCalls() const {
  const std::lock_guard lock(this->implementation->mutex);
  return this->implementation->status_calls;
}

std::size_t ScriptedServer::CountOf(const std::string& request_id) const {
  const auto requests = this->Received();
  return static_cast<std::size_t>(std::count_if(
      requests.begin(), requests.end(), [&](const ReceivedRequest& request) {
        return request.body.find("\"" + request_id + "\"") != std::string::npos;
      }));
}

std::size_t ScriptedServer::OpenConnections() const {
  return this->implementation->OpenConnections();
}

std::size_t ScriptedServer::MaximumOpenConnections() const {
  const std::lock_guard lock(this->implementation->mutex);
  return this->implementation->maximum_open;
}

}  // namespace laburnumkeel::testing
