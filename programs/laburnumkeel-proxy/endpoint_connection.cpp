#include "programs/laburnumkeel-proxy/endpoint_connection.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "laburnumkeel/transport/socket_address.h"

namespace laburnumkeel::proxy {

using statements::EndpointReply;

EndpointConnection::EndpointConnection(boost::asio::io_context& loop,
                                       const model::DatabaseEndpoint& endpoint,
                                       std::string account)
    : socket(loop),
      address(endpoint.address),
      startup(platform_adapter::EncodeEndpointStartup(endpoint.service, account,
                                                      endpoint.id)),
      endpoint_id(endpoint.id),
      account(std::move(account)) {}

void EndpointConnection::Open(OpenHandler handler) {
  this->open_handler = std::move(handler);
  const auto target = transport::ParseSocketAddress(this->address);
  if (!target) {
    // Not within this call: the caller may be going through its connections.
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this()] {
                        if (!self->is_closed) {
                          self->FinishOpen(OpenResult::kUnreachable);
                        }
                      });
    return;
  }
  this->socket.async_connect(*target, [self = this->shared_from_this()](
                                          boost::system::error_code error) {
    if (self->is_closed) {
      return;
    }
    if (error) {
      self->FinishOpen(OpenResult::kUnreachable);
      return;
    }
    self->stream =
        std::make_shared<transport::LineStream>(std::move(self->socket));
    const std::weak_ptr<EndpointConnection> weak = self;
    self->stream->Start(
        [weak](std::string_view line) {
          if (const auto connection = weak.lock()) {
            connection->OnLine(line);
          }
        },
        [weak](transport::LineStream::CloseReason) {
          if (const auto connection = weak.lock()) {
            connection->OnClosed();
          }
        });
    self->stream->Write(self->startup);
  });
}

void EndpointConnection::Send(const std::string& bytes, int setup_replies,
                              ReplyHandler handler) {
  this->reply_handler = std::move(handler);
  this->replies_to_skip = setup_replies;
  this->has_setup_failed = false;
  this->stream->Write(bytes);
}

void EndpointConnection::SendWithdrawable(const std::string& bytes,
                                          std::chrono::milliseconds timeout,
                                          ReplyHandler handler) {
  if (!this->stream->EnableWithdrawal(timeout)) {
    this->Close();
    handler(std::nullopt);
    return;
  }
  this->Send(
      bytes, 0,
      [this, handler = std::move(handler)](std::optional<EndpointReply> reply) {
        if (!this->is_closed) {
          this->stream->DisableWithdrawal();
        }
        handler(std::move(reply));
      });
}

void EndpointConnection::Close() {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->open_handler = nullptr;
  this->reply_handler = nullptr;
  if (this->stream) {
    this->stream->Close();
  } else {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }
}

void EndpointConnection::OnLine(std::string_view line) {
  using Progress = platform_adapter::ReplyDecoder::Progress;
  const Progress progress = this->decoder.Add(line);
  if (progress == Progress::kIncomplete) {
    return;
  }
  if (progress == Progress::kInvalid) {
    this->OnClosed();
    return;
  }
  EndpointReply reply = this->decoder.Take();
  if (!this->is_open) {
    this->is_open = true;
    this->FinishOpen(OpenResult::kOpened);
    return;
  }
  if (this->replies_to_skip > 0) {
    --this->replies_to_skip;
    this->has_setup_failed |= !reply.signature;
    return;
  }
  this->FinishReply(std::move(reply));
}

void EndpointConnection::OnClosed() {
  if (this->is_closed) {
    return;
  }
  if (!this->is_open) {
    // An endpoint refuses a connection with an error line without a ready line,
    // followed by a close. An endpoint at its connection limit may also reset
    // the connection without an error line.
    const EndpointReply reply = this->decoder.Take();
    this->FinishOpen(reply.error == statements::ErrorCode::kMisrouted
                         ? OpenResult::kMisrouted
                         : OpenResult::kOverload);
    return;
  }
  const ReplyHandler handler = std::exchange(this->reply_handler, nullptr);
  this->Close();
  if (handler) {
    handler(std::nullopt);
  }
}

void EndpointConnection::FinishOpen(OpenResult result) {
  const OpenHandler handler = std::exchange(this->open_handler, nullptr);
  if (result != OpenResult::kOpened) {
    this->Close();
  }
  if (handler) {
    handler(result);
  }
}

void EndpointConnection::FinishReply(std::optional<EndpointReply> reply) {
  const ReplyHandler handler = std::exchange(this->reply_handler, nullptr);
  if (this->has_setup_failed) {
    this->Close();
  }
  if (handler) {
    handler(std::move(reply));
    return;
  }
  // An unexpected reply: replies can no longer be matched to statements.
  this->Close();
}

}  // namespace laburnumkeel::proxy
