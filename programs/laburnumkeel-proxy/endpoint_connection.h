#ifndef LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_CONNECTION_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/database_endpoint.h"
#include "laburnumkeel/statements/session_values.h"
#include "laburnumkeel/statements/statement.h"
#include "laburnumkeel/transport/line_stream.h"
#include "platform/wire_codec.h"

namespace laburnumkeel::proxy {

// A connection to an endpoint on behalf of one client account, shared in turn
// by the statements of many client sessions. Runs on the event loop.
class EndpointConnection
    : public std::enable_shared_from_this<EndpointConnection> {
 public:
  enum class OpenResult {
    kOpened,
    // The endpoint has reached its connection limit.
    kOverload,
    // The endpoint at the address is not the expected one.
    kMisrouted,
    kUnreachable,
  };
  using OpenHandler = std::function<void(OpenResult result)>;
  // `reply` is empty when the connection was closed before the reply was
  // complete.
  using ReplyHandler =
      std::function<void(std::optional<statements::EndpointReply> reply)>;

  EndpointConnection(boost::asio::io_context& loop,
                     const model::DatabaseEndpoint& endpoint,
                     std::string account);

  void Open(OpenHandler handler);

  // Sends `bytes`: setup statements, whose `setup_replies` replies are read
  // first, and then one statement. The connection must be open and not busy. If
  // a setup statement fails, `handler` still receives the reply to the last
  // statement, and the connection closes itself.
  void Send(const std::string& bytes, int setup_replies, ReplyHandler handler);

  // Sends one statement that must not be executed after the connection was
  // closed or this process has ended, nor after `timeout`.
  void SendWithdrawable(const std::string& bytes,
                        std::chrono::milliseconds timeout,
                        ReplyHandler handler);

  // Closes the connection, upon which the endpoint rolls back an open
  // transaction. No handler is called afterwards.
  void Close();

  bool IsOpen() const { return this->is_open && !this->is_closed; }
  bool IsClosed() const { return this->is_closed; }
  bool IsBusy() const { return static_cast<bool>(this->reply_handler); }

  const std::string& EndpointId() const { return this->endpoint_id; }
  const std::string& Account() const { return this->account; }
  statements::ConnectionValues& Values() { return this->values; }

  // True when the connection may be given to another statement.
  bool IsFree() const {
    return !this->IsBusy() && !this->is_pinned && !this->is_reserved;
  }

  // True while the connection is pinned to a client's transaction.
  bool is_pinned = false;
  // True while a refused statement waits to be sent again on the connection.
  bool is_reserved = false;
  kernel::Instant last_used;

 private:
  void OnLine(std::string_view line);
  void OnClosed();
  void FinishOpen(OpenResult result);
  void FinishReply(std::optional<statements::EndpointReply> reply);

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<transport::LineStream> stream;
  const std::string address;
  const std::string startup;
  const std::string endpoint_id;
  const std::string account;
  statements::ConnectionValues values;
  platform_adapter::ReplyDecoder decoder;
  OpenHandler open_handler;
  ReplyHandler reply_handler;
  int replies_to_skip = 0;
  bool has_setup_failed = false;
  bool is_open = false;
  bool is_closed = false;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_CONNECTION_H_
