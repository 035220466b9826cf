#include "laburnumkeel/transport/http_server.h"

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <filesystem>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/memory_account.h"
#include "laburnumkeel/transport/events.h"
#include "laburnumkeel/transport/http_connection_table.h"
#include "laburnumkeel/transport/socket_address.h"

namespace laburnumkeel::transport {

namespace {

// With one thread per connection, 3,430 connections need small stacks. 256 KiB
// is enough for JSON parsing and the endpoint client; untouched pages use no
// memory.
constexpr std::size_t kThreadStackBytes = std::size_t{256} * 1024;
constexpr std::size_t kConnectionMemoryBytes = std::size_t{16} * 1024;

// Each check makes two system calls for each connection.
constexpr std::chrono::milliseconds kWatchInterval{500};
constexpr std::chrono::milliseconds kAcceptPause{100};
constexpr std::chrono::milliseconds kRoomInterval{20};
// libmicrohttpd must not refuse a connection that the server has accepted.
constexpr std::size_t kLibraryConnectionMargin = 16;
// A legal body in chunks of one byte has six bytes for each.
constexpr std::size_t kMaximumFraming = 8;

std::size_t BudgetOf(const ServerLimits& limits) {
  if (limits.memory_budget_bytes > 0) {
    return limits.memory_budget_bytes;
  }
  return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 2;
}

// Connections that fit the settings, three quarters of the memory and the
// descriptors; at least one.
std::size_t ConnectionLimitOf(const ServerLimits& limits) {
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  const std::filesystem::directory_iterator open("/proc/self/fd");
  const std::size_t kept =
      limits.reserved_descriptors +
      static_cast<std::size_t>(std::distance(begin(open), end(open)));
  const std::size_t by_descriptors =
      descriptors.rlim_cur > kept ? descriptors.rlim_cur - kept : 1;
  const std::size_t by_memory =
      BudgetOf(limits) / 4 * 3 / HttpConnectionTable::kConnectionBytes;
  return std::max<std::size_t>(
      1, std::min({static_cast<std::size_t>(limits.maximum_connections),
                   by_descriptors, by_memory}));
}

std::map<std::string, std::string> CopyMap(const struct _u_map* source) {
  std::map<std::string, std::string> copy;
  const char** keys = u_map_enum_keys(source);
  for (int index = 0; keys != nullptr && keys[index] != nullptr; ++index) {
    const char* value = u_map_get(source, keys[index]);
    copy[keys[index]] = value == nullptr ? "" : value;
  }
  return copy;
}

HttpRequest ToRequest(const struct _u_request* request) {
  HttpRequest result;
  result.method = request->http_verb;
  result.target = request->url_path == nullptr ? "" : request->url_path;
  result.headers = CopyMap(request->map_header);
  result.parameters = CopyMap(request->map_url);
  if (request->binary_body != nullptr) {
    result.body.assign(static_cast<const char*>(request->binary_body),
                       request->binary_body_length);
  }
  return result;
}

}  // namespace

struct HttpServer::Implementation {
  // A handler and its limit on the request body; ulfius keeps a pointer to it.
  struct Route {
    Handler handler;
    std::size_t maximum_body_bytes;
    Implementation* server;
  };

  explicit Implementation(const ServerLimits& limits)
      : limits(limits),
        account(BudgetOf(limits)),
        table(account, causes,
              HttpConnectionLimits{limits.receive_timeout, limits.send_timeout,
                                   limits.maximum_body_bytes * kMaximumFraming +
                                       kConnectionMemoryBytes}) {}

  static int Dispatch(const struct _u_request* request,
                      struct _u_response* response, void* data) {
    const Route& route = *static_cast<const Route*>(data);
    HttpConnectionTable& table = route.server->table;
    // ulfius keeps the body while the handler has a copy.
    if (!table.BeginHandling(current_socket, 2 * request->binary_body_length)) {
      return U_CALLBACK_ERROR;
    }
    HttpResponse result;
    if (request->binary_body_length > route.maximum_body_bytes) {
      result = HttpResponse{
          413,
          {{"Content-Type", "application/json"}},
          R"({"error":{"code":"body_too_large","message":"the body exceeds )" +
              std::to_string(route.maximum_body_bytes) +
              R"( bytes","outcome":"not_run"}})"};
    } else {
      result = Call(route, request);
    }
    for (const auto& [name, value] : result.headers) {
      u_map_put(response->map_header, name.c_str(), value.c_str());
    }
    // ulfius rejects an empty body and would leave the status at 200, so the
    // status is set separately.
    response->status = result.status;
    if (!result.body.empty()) {
      ulfius_set_binary_body_response(response,
                                      static_cast<unsigned int>(result.status),
                                      result.body.data(), result.body.size());
    }
    table.BeginSending(current_socket,
                       request->binary_body_length + result.body.size());
    return U_CALLBACK_COMPLETE;
  }

  // Catches exceptions, which must not propagate through ulfius, as it is C
  // code.
  static HttpResponse Call(const Route& route,
                           const struct _u_request* request) {
    try {
      return route.handler(ToRequest(request));
    } catch (const std::exception& error) {
      kernel::LogEvent(kHandlerFailed, {{"reason", error.what()}});
      return HttpResponse{
          500,
          {{"Content-Type", "application/json"}},
          R"({"error":{"code":"internal","message":"the handler failed",)"
          R"("outcome":"unknown"}})"};
    }
  }

  static int SocketOf(struct MHD_Connection* connection) {
    const union MHD_ConnectionInfo* information =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return information == nullptr ? -1 : information->connect_fd;
  }

  // Called with the line of each request, on the thread of the connection;
  // `data` is this object.
  static void* OnRequest(void* data, const char* uri,
                         struct MHD_Connection* connection) {
    auto& state = *static_cast<Implementation*>(data);
    current_socket = SocketOf(connection);
    // ulfius has no callback between the head and the body, so room is taken
    // for the longest body.
    state.table.BeginRequest(current_socket, state.limits.maximum_body_bytes);
    return ulfius_uri_logger(nullptr, uri);
  }

  // Called when the response was sent, or the connection was closed.
  static void OnCompleted(void* data, struct MHD_Connection* connection,
                          void** request,
                          enum MHD_RequestTerminationCode code) {
    mhd_request_completed(nullptr, connection, request, code);
    static_cast<Implementation*>(data)->table.EndRequest(SocketOf(connection));
  }

  // Called before libmicrohttpd closes the socket.
  static void OnConnection(void* data, struct MHD_Connection* connection,
                           void** /*context*/,
                           enum MHD_ConnectionNotificationCode code) {
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      static_cast<Implementation*>(data)->table.Remove(SocketOf(connection));
    }
  }

  bool Listen() {
    const auto& endpoint = *this->endpoint;
    this->listener = ::socket(endpoint.protocol().family(),
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int yes = 1;
    return this->listener >= 0 &&
           setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes,
                      sizeof yes) == 0 &&
           bind(this->listener, endpoint.data(),
                static_cast<socklen_t>(endpoint.size())) == 0 &&
           listen(this->listener, SOMAXCONN) == 0;
  }

  void CloseListener() {
    if (this->listener >= 0) {
      close(this->listener);
      this->listener = -1;
    }
  }

  // Accepts connections, and ends those that exceed a limit, until `stopping`.
  void Watch() {
    kernel::Instant checked_at = this->clock.Now();
    while (!this->stopping) {
      this->AcceptOnce();
      const kernel::Instant now = this->clock.Now();
      if (now - checked_at >= kWatchInterval) {
        checked_at = now;
        this->table.CheckLimits();
        this->causes.Write(now);
      }
    }
  }

  void AcceptOnce() {
    pollfd ready{this->listener, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(kRoomInterval.count())) <= 0) {
      return;
    }
    if (this->table.Size() >= this->connection_limit) {
      if (!this->table.MakeRoom()) {
        this->causes.Count(HttpCause::kAcceptPaused);
      }
      this->table.AwaitFewerThan(this->connection_limit, kRoomInterval);
      return;
    }
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    const int socket =
        accept4(this->listener, reinterpret_cast<sockaddr*>(&address), &length,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) {
      this->Serve(socket, reinterpret_cast<const sockaddr*>(&address), length);
      return;
    }
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
        errno == ENOMEM) {
      this->causes.Count(HttpCause::kAcceptPaused);
      this->table.MakeRoom();
      std::this_thread::sleep_for(kAcceptPause);
    }
  }

  void Serve(int socket, const sockaddr* address, socklen_t length) {
    this->table.Add(socket);
    // Closes the socket when it fails.
    if (MHD_add_connection(this->instance.mhd_daemon, socket, address,
                           length) != MHD_YES) {
      this->table.Remove(socket);
    }
  }

  // The socket of the connection that this thread serves.
  static thread_local int current_socket;

  const ServerLimits limits;
  const kernel::BootClock clock{};
  kernel::MemoryAccount account;
  HttpCauseLog causes;
  HttpConnectionTable table;
  std::string address;
  std::optional<boost::asio::ip::tcp::endpoint> endpoint;
  std::size_t connection_limit = 1;
  int listener = -1;
  std::atomic<bool> stopping = false;
  std::thread watcher;
  struct _u_instance instance {};
  std::vector<std::unique_ptr<Route>> routes;
  bool running = false;
};

thread_local int HttpServer::Implementation::current_socket = -1;

HttpServer::HttpServer(const std::string& address, const ServerLimits& limits)
    : implementation(std::make_unique<Implementation>(limits)) {
  Implementation& state = *this->implementation;
  state.address = address;
  state.endpoint = ParseSocketAddress(address);
  // ulfius wants a port, but does not bind it.
  ulfius_init_instance(&state.instance, 1, nullptr, nullptr);
  // ulfius truncates longer bodies; one byte above the limit shows that a body
  // is too long.
  state.instance.max_post_body_size = limits.maximum_body_bytes + 1;
  state.instance.max_post_param_size = limits.maximum_body_bytes + 1;
  state.instance.allowed_post_processor = U_POST_PROCESS_NONE;
  state.instance.check_utf8 = 0;
}

HttpServer::~HttpServer() {
  this->Stop();
  ulfius_clean_instance(&this->implementation->instance);
}

void HttpServer::AddRoute(const std::string& method, const std::string& route,
                          Handler handler) {
  Implementation& state = *this->implementation;
  state.routes.push_back(
      std::make_unique<Implementation::Route>(Implementation::Route{
          std::move(handler), state.limits.maximum_body_bytes, &state}));
  ulfius_add_endpoint_by_val(&state.instance, method.c_str(), nullptr,
                             route.c_str(), 0, &Implementation::Dispatch,
                             state.routes.back().get());
}

void HttpServer::SetDefault(Handler handler) {
  Implementation& state = *this->implementation;
  state.routes.push_back(
      std::make_unique<Implementation::Route>(Implementation::Route{
          std::move(handler), state.limits.maximum_body_bytes, &state}));
  ulfius_set_default_endpoint(&state.instance, &Implementation::Dispatch,
                              state.routes.back().get());
}

void HttpServer::SetMetrics(kernel::Metrics& metrics) {
  this->implementation->causes.SetMetrics(&metrics);
}

bool HttpServer::Start() {
  Implementation& state = *this->implementation;
  if (!state.endpoint.has_value() || state.endpoint->port() == 0) {
    kernel::LogEvent(kHttpAddressInvalid, {{"address", state.address}});
    return false;
  }
  if (!state.Listen()) {
    const std::string reason = std::generic_category().message(errno);
    kernel::LogEvent(kListenFailed,
                     {{"ip", state.endpoint->address().to_string()},
                      {"port", state.endpoint->port()},
                      {"reason", reason}});
    state.CloseListener();
    return false;
  }
  state.connection_limit = ConnectionLimitOf(state.limits);
  // MHD_USE_POLL, since select() cannot watch descriptors above 1023.
  const unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
                             MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                             MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET;
  std::array<MHD_OptionItem, 8> options{{
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<intptr_t>(&Implementation::OnCompleted), &state},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<intptr_t>(&Implementation::OnRequest), &state},
      {MHD_OPTION_NOTIFY_CONNECTION,
       reinterpret_cast<intptr_t>(&Implementation::OnConnection), &state},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<intptr_t>(state.connection_limit + kLibraryConnectionMargin),
       nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
       static_cast<intptr_t>(kConnectionMemoryBytes), nullptr},
      {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(kThreadStackBytes),
       nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       static_cast<intptr_t>(state.limits.idle_timeout_seconds), nullptr},
      {MHD_OPTION_END, 0, nullptr},
  }};
  state.running = ulfius_start_framework_with_mhd_options(
                      &state.instance, flags, options.data()) == U_OK;
  if (!state.running) {
    kernel::LogEvent(kListenFailed,
                     {{"ip", state.endpoint->address().to_string()},
                      {"port", state.endpoint->port()},
                      {"reason", "the HTTP library did not start"}});
    state.CloseListener();
    return false;
  }
  state.stopping = false;
  state.watcher = std::thread([&state] { state.Watch(); });
  return true;
}

void HttpServer::Stop() {
  Implementation& state = *this->implementation;
  if (state.running) {
    state.stopping = true;
    state.watcher.join();
    state.CloseListener();
    // Stopping the daemon closes all connections, also those on which a
    // response is being sent.
    state.table.AwaitIdle(kMaximumSendTime);
    ulfius_stop_framework(&state.instance);
    state.running = false;
  }
}

}  // namespace laburnumkeel::transport
