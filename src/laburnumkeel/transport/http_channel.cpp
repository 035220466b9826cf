#include "laburnumkeel/transport/http_channel.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "laburnumkeel/transport/socket_address.h"
#include "laburnumkeel/transport/withdrawal.h"

namespace laburnumkeel::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// The connection of a channel. Its pending operations keep it alive.
class HttpChannel::Connection
    : public std::enable_shared_from_this<HttpChannel::Connection> {
 public:
  // Responses of the store hold at most 1 MB of rows, which base64 enlarges by
  // a third.
  static constexpr std::uint64_t kMaximumBodyBytes = std::uint64_t{4} << 20;

  Connection(asio::io_context& loop, std::string address)
      : stream(loop), address(std::move(address)) {}

  bool IsBusy() const { return static_cast<bool>(this->handler); }
  bool IsUsable() const { return this->is_usable; }

  void Send(const HttpCall& call, Handler new_handler) {
    this->handler = std::move(new_handler);
    this->may_send = call.may_send;
    this->is_unsent = true;
    this->request = {};
    this->request.method_string(call.method);
    this->request.target(call.target);
    this->request.version(11);
    this->request.set(http::field::host, this->address);
    for (const auto& [name, value] : call.headers) {
      this->request.set(name, value);
    }
    if (!call.body.empty() || call.method != "GET") {
      this->request.set(http::field::content_type, "application/json");
      this->request.body() = call.body;
      this->request.prepare_payload();
    }
    this->step_timeout = call.timeout;
    this->deadline =
        Clock::now() + call.progress_timeout.value_or(call.timeout);
    this->LimitStep();
    if (this->is_connected) {
      this->Write();
      return;
    }
    const auto endpoint = ParseSocketAddress(this->address);
    if (!endpoint || (call.is_withdrawable &&
                      !this->MakeWithdrawable(*endpoint, call.timeout))) {
      this->Finish({});
      return;
    }
    this->stream.async_connect(*endpoint, [self = this->shared_from_this()](
                                              beast::error_code error) {
      if (error || !self->IsBusy()) {
        self->Finish({});
        return;
      }
      self->is_connected = true;
      beast::error_code ignored;
      self->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      self->Write();
    });
  }

  void GiveUp() {
    if (this->IsBusy()) {
      this->Finish({});
    }
  }

  void Abandon() {
    this->handler = nullptr;
    this->stream.close();
  }

 private:
  using Clock = std::chrono::steady_clock;

  bool MakeWithdrawable(const asio::ip::tcp::endpoint& endpoint,
                        std::chrono::milliseconds timeout) {
    this->is_withdrawable = true;
    beast::error_code error;
    this->stream.socket().open(endpoint.protocol(), error);
    return !error && EnableWithdrawal(this->stream.socket(), timeout);
  }

  void Write() {
    if (this->may_send && !this->may_send()) {
      this->Finish({});
      return;
    }
    this->is_unsent = false;
    this->LimitStep();
    http::async_write(this->stream, this->request,
                      [self = this->shared_from_this()](beast::error_code error,
                                                        std::size_t) {
                        if (error) {
                          self->Finish({});
                          return;
                        }
                        self->Read();
                      });
  }

  // Limits the next step of the call.
  void LimitStep() {
    this->stream.expires_at(
        std::min(this->deadline, Clock::now() + this->step_timeout));
  }

  void Read() {
    this->parser.emplace();
    this->parser->body_limit(kMaximumBodyBytes);
    this->parser->eager(true);
    this->ReadPart();
  }

  void ReadPart() {
    this->LimitStep();
    http::async_read_some(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](beast::error_code error,
                                          std::size_t) {
          if (error) {
            self->Finish({0, "", self->parser->get().body().size()});
          } else if (!self->IsBusy()) {
            // The call was given up, and its connection is closed.
            return;
          } else if (self->parser->is_done()) {
            self->OnResponse();
          } else {
            self->ReadPart();
          }
        });
  }

  void OnResponse() {
    this->is_usable = this->parser->keep_alive();
    this->stream.expires_never();
    auto& response = this->parser->get();
    const std::size_t received_bytes = response.body().size();
    HttpAnswer answer{static_cast<int>(response.result_int()),
                      std::move(response.body()), received_bytes};
    for (const auto& field : response) {
      std::string name(field.name_string());
      boost::algorithm::to_lower(name);
      answer.headers.insert_or_assign(std::move(name),
                                      std::string(field.value()));
    }
    this->Finish(std::move(answer));
  }

  void Finish(HttpAnswer answer) {
    answer.is_unsent = this->is_unsent;
    if (answer.status == 0 || this->is_withdrawable) {
      this->is_usable = false;
    }
    if (answer.status != 0 && this->is_withdrawable) {
      // Nothing is left to withdraw, so that the connection ends in order.
      DisableWithdrawal(this->stream.socket());
    }
    if (!this->is_usable) {
      this->stream.close();
    }
    const Handler finished_handler = std::exchange(this->handler, nullptr);
    if (finished_handler) {
      finished_handler(answer);
    }
  }

  beast::tcp_stream stream;
  const std::string address;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  beast::flat_buffer buffer;
  Handler handler;
  std::function<bool()> may_send;
  Clock::duration step_timeout{0};
  Clock::time_point deadline;
  bool is_unsent = true;
  bool is_connected = false;
  bool is_usable = true;
  bool is_withdrawable = false;
};

HttpChannel::HttpChannel(asio::io_context& loop, std::string address)
    : loop(loop), address(std::move(address)) {}

HttpChannel::~HttpChannel() {
  if (this->connection) {
    this->connection->Abandon();
  }
}

void HttpChannel::GiveUp() {
  if (this->connection) {
    this->connection->GiveUp();
  }
}

bool HttpChannel::IsBusy() const {
  return this->connection && this->connection->IsBusy();
}

void HttpChannel::Send(const HttpCall& call, Handler handler) {
  if (!this->connection || !this->connection->IsUsable() ||
      call.is_withdrawable) {
    this->connection = std::make_shared<Connection>(this->loop, this->address);
  }
  this->connection->Send(call, std::move(handler));
}

}  // namespace laburnumkeel::transport
