#include "standins/common/connection.h"

#include <poll.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "standins/common/answer_text.h"
#include "standins/common/request_target.h"

namespace laburnumkeel::standins {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// Replication sends many entries in one request.
constexpr std::size_t kMaximumBodyBytes = std::size_t{64} * 1024 * 1024;
constexpr std::chrono::milliseconds kConditionPollInterval{10};

transport::HttpRequest FromBeast(
    const http::request<http::string_body>& message) {
  transport::HttpRequest request;
  request.method = std::string(message.method_string());
  const RequestTarget target = ParseRequestTarget(
      std::string_view(message.target().data(), message.target().size()));
  request.target = target.path;
  request.parameters = target.parameters;
  for (const auto& field : message) {
    request.headers[std::string(field.name_string())] =
        std::string(field.value());
  }
  request.body = message.body();
  return request;
}

}  // namespace

Connection::Connection(tcp::socket socket, std::uint64_t number,
                       const ConnectionEnvironment& environment,
                       ConnectionHandler handler)
    : socket(std::move(socket)),
      number(number),
      environment(environment),
      handler(std::move(handler)) {
  beast::error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
}

void Connection::Serve() {
  bool open = this->Pause(this->environment.connect_delay);
  while (open) {
    const auto request = this->Read();
    open = request.has_value() && this->Respond(*request);
  }
  // Destroying the handler frees its slots and its open transaction.
  this->handler = ConnectionHandler{};
  this->Close();
}

void Connection::Shutdown() {
  const std::lock_guard lock(this->close_mutex);
  beast::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_both, ignored);
}

std::optional<transport::HttpRequest> Connection::Read() {
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(kMaximumBodyBytes);
  bool need_more = this->buffer.size() == 0;
  while (!parser.is_done()) {
    beast::error_code error;
    if (need_more) {
      const auto space = this->buffer.prepare(kReadBytes);
      const std::size_t count = this->socket.read_some(space, error);
      if (error) {
        return std::nullopt;
      }
      this->environment.received.Add(
          std::string_view(static_cast<const char*>(space.data()), count));
      this->buffer.commit(count);
    }
    this->buffer.consume(parser.put(this->buffer.data(), error));
    if (error && error != http::error::need_more) {
      return std::nullopt;
    }
    need_more = error == http::error::need_more || this->buffer.size() == 0;
  }
  return FromBeast(parser.release());
}

bool Connection::Respond(const transport::HttpRequest& request) {
  const Origin origin = ParseOrigin(request.Header(std::string(kOriginHeader)));
  const auto latency = this->environment.latencies.OneWay(origin.data_centre);
  if (!this->Pause(latency) || this->environment.faults.IsCut(origin)) {
    this->WaitWhile([&] { return this->environment.faults.IsCut(origin); });
    return false;
  }
  const Fault fault =
      this->environment.faults.ConsumeRequestFault(request.target)
          .value_or(Fault{});
  if (fault.mode == FaultMode::kCloseBeforeExecute) {
    return false;
  }
  if (fault.mode == FaultMode::kResetAfterRead) {
    this->Reset();
    return false;
  }
  const auto refusal = this->handler.admit(request);
  if (!this->WaitWhileSilenced(origin) ||
      (fault.mode == FaultMode::kSlow && !this->Pause(fault.delay))) {
    return false;
  }
  const transport::HttpResponse response =
      refusal.has_value() ? *refusal : this->handler.execute(request);
  if (!this->WaitWhileSilenced(origin) ||
      fault.mode == FaultMode::kLoseAnswers ||
      (fault.mode == FaultMode::kLateAnswer && !this->Pause(fault.delay)) ||
      !this->Pause(latency) ||
      !this->Write(ResponseText(response, fault.mode)) ||
      fault.mode == FaultMode::kHalfAnswer) {
    return false;
  }
  this->handler.on_response_written();
  return true;
}

bool Connection::Write(const std::string& text) {
  beast::error_code error;
  boost::asio::write(this->socket, boost::asio::buffer(text), error);
  return !error;
}

bool Connection::Pause(std::chrono::milliseconds time) {
  pollfd descriptor{this->socket.native_handle(), POLLRDHUP, 0};
  // Any event that poll reports here means that the connection is closing.
  return time.count() == 0 ||
         poll(&descriptor, 1, static_cast<int>(time.count())) == 0;
}

bool Connection::WaitWhile(const std::function<bool()>& condition) {
  while (condition()) {
    if (!this->Pause(kConditionPollInterval)) {
      return false;
    }
  }
  return true;
}

bool Connection::WaitWhileSilenced(const Origin& origin) {
  FaultPlan& faults = this->environment.faults;
  if (!this->WaitWhile([&] { return faults.IsFrozen(); })) {
    return false;
  }
  const auto is_lost = [&] {
    return faults.IsSilenced(this->number) || faults.IsCut(origin);
  };
  if (!is_lost()) {
    return true;
  }
  this->WaitWhile(is_lost);
  return false;
}

void Connection::Close() {
  const std::lock_guard lock(this->close_mutex);
  beast::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
}

void Connection::Reset() {
  const std::lock_guard lock(this->close_mutex);
  beast::error_code ignored;
  this->socket.set_option(tcp::socket::linger(true, 0), ignored);
  this->socket.close(ignored);
}

}  // namespace laburnumkeel::standins
