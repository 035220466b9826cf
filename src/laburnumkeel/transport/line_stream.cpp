#include "laburnumkeel/transport/line_stream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <exception>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/transport/events.h"
#include "laburnumkeel/transport/withdrawal.h"

namespace laburnumkeel::transport {

namespace asio = boost::asio;
using boost::system::error_code;

LineStream::LineStream(asio::ip::tcp::socket socket)
    : socket(std::move(socket)) {
  // A failure to set these options only increases latency.
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->socket.non_blocking(true, ignored);
}

void LineStream::Start(LineHandler new_line_handler,
                       CloseHandler new_close_handler) {
  this->line_handler = std::move(new_line_handler);
  this->close_handler = std::move(new_close_handler);
  this->Read();
}

void LineStream::Read() {
  if (this->is_closed) {
    return;
  }
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [self = this->shared_from_this()](error_code error, std::size_t size) {
        if (error) {
          self->Fail(CloseReason::kConnectionLost);
          return;
        }
        self->Consume(size);
        self->Read();
      });
}

void LineStream::Consume(std::size_t size) {
  if (this->is_closed || this->is_closing) {
    return;
  }
  this->pending_input.append(this->read_buffer.data(), size);
  this->DispatchLines();
  if (this->pending_input.size() > kMaximumLineBytes) {
    this->Fail(CloseReason::kLineTooLong);
  }
}

void LineStream::DispatchLines() {
  // Moved out of the member, since a handler may close the stream or start
  // another read.
  std::string input = std::exchange(this->pending_input, {});
  const std::string_view lines = input;
  std::size_t begin = 0;
  while (!this->is_closed && !this->is_closing) {
    const std::size_t end = input.find("\r\n", begin);
    if (end == std::string::npos) {
      break;
    }
    // A copy, since `Close` in the handler resets the member.
    const LineHandler handler = this->line_handler;
    try {
      handler(lines.substr(begin, end - begin));
    } catch (const std::exception& error) {
      kernel::LogEvent(kLineHandlerFailed,
                       {{"reason", error.what()}, {"bytes", end - begin}});
      this->Fail(CloseReason::kHandlerFailed);
      return;
    }
    begin = end + 2;
  }
  input.erase(0, begin);
  this->pending_input = std::move(input);
}

void LineStream::Write(std::string_view bytes) {
  if (this->is_closed) {
    return;
  }
  if (this->is_writing) {
    this->pending_output += bytes;
    return;
  }
  error_code error;
  const std::size_t sent =
      this->socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
  if (error && error != asio::error::would_block) {
    // The pending read then fails and calls the close handler, which thus does
    // not run inside this call.
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
    return;
  }
  if (sent < bytes.size()) {
    this->pending_output += bytes.substr(sent);
    this->ContinueWrite();
  }
}

void LineStream::ContinueWrite() {
  this->is_writing = true;
  auto output =
      std::make_shared<std::string>(std::exchange(this->pending_output, {}));
  this->socket.async_write_some(
      asio::buffer(*output), [self = this->shared_from_this(), output](
                                 error_code error, std::size_t size) {
        self->is_writing = false;
        if (error) {
          self->Fail(CloseReason::kConnectionLost);
          return;
        }
        self->pending_output.insert(0, output->substr(size));
        if (!self->pending_output.empty()) {
          self->ContinueWrite();
        } else if (self->is_closing) {
          self->Close();
        }
      });
}

void LineStream::Close() {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  error_code ignored;
  if (!this->is_withdrawable) {
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }
  this->socket.close(ignored);
  this->line_handler = nullptr;
  this->close_handler = nullptr;
}

bool LineStream::EnableWithdrawal(std::chrono::milliseconds timeout) {
  this->is_withdrawable = true;
  return transport::EnableWithdrawal(this->socket, timeout);
}

void LineStream::DisableWithdrawal() {
  this->is_withdrawable = false;
  transport::DisableWithdrawal(this->socket);
}

void LineStream::CloseAfterWrite() {
  this->is_closing = true;
  if (!this->is_writing) {
    this->Close();
  }
}

void LineStream::Fail(CloseReason reason) {
  if (this->is_closed) {
    return;
  }
  const CloseHandler handler = std::move(this->close_handler);
  this->Close();
  if (handler) {
    handler(reason);
  }
}

}  // namespace laburnumkeel::transport
