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

void LineStream::LimitInput(std::function<void()> handler) {
  this->change_handler = std::move(handler);
}

void LineStream::HoldLines() { this->is_held = true; }

void LineStream::ReleaseLines() {
  if (!std::exchange(this->is_held, false) || this->is_dispatching) {
    return;
  }
  const auto self = this->shared_from_this();
  this->DispatchLines();
  this->Read();
  this->NotifyIfChanged();
}

bool LineStream::NeedsLargeLine() const {
  return this->change_handler && !this->is_large_line_allowed &&
         this->pending_input.size() > kSmallInputBytes;
}

void LineStream::AllowLargeLine() {
  this->is_large_line_allowed = true;
  this->pending_input.reserve(kLargeInputBytes);
  this->Read();
}

std::size_t LineStream::InputBytes() const {
  // A small buffer belongs to the connection itself.
  const std::size_t held = this->pending_input.capacity() > kKeptInputBytes
                               ? this->pending_input.capacity()
                               : 0;
  return held + this->dispatched_bytes;
}

std::size_t LineStream::OutputBytes() const {
  return this->output.size() - this->sent + this->pending_output.size();
}

bool LineStream::IsMidLine() const {
  return !this->is_held && !this->pending_input.empty();
}

bool LineStream::MayRead() const {
  const bool is_full =
      this->is_held && this->pending_input.size() >= kHeldInputBytes;
  return !is_full && !this->NeedsLargeLine();
}

void LineStream::Read() {
  if (this->is_closed || this->is_reading || !this->MayRead()) {
    return;
  }
  this->is_reading = true;
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [self = this->shared_from_this()](error_code error, std::size_t size) {
        self->is_reading = false;
        if (error) {
          self->Fail(CloseReason::kConnectionLost);
          return;
        }
        self->Consume(size);
        self->Read();
        self->NotifyIfChanged();
      });
}

void LineStream::NotifyIfChanged() {
  if (!this->change_handler || this->is_closed) {
    return;
  }
  const std::size_t input = this->InputBytes();
  const std::size_t waiting_output = this->OutputBytes();
  // A line may exceed its limit within memory that is allocated already.
  if (input != this->notified_input ||
      waiting_output != this->notified_output || this->NeedsLargeLine()) {
    this->notified_input = input;
    this->notified_output = waiting_output;
    // A copy, since `Close` in the handler resets the member.
    const std::function<void()> handler = this->change_handler;
    handler();
  }
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
  this->dispatched_bytes =
      input.capacity() > kKeptInputBytes ? input.capacity() : 0;
  this->is_dispatching = true;
  const std::string_view lines = input;
  std::size_t begin = 0;
  std::size_t search = std::exchange(this->searched, 0);
  while (!this->is_closed && !this->is_closing && !this->is_held) {
    const std::size_t end = input.find("\r\n", search);
    if (end == std::string::npos) {
      // The last byte may be the first half of a line ending. Searching all
      // bytes again would make a line that arrives byte by byte cost the square
      // of its length.
      const std::size_t rest = input.size() - begin;
      this->searched = rest == 0 ? 0 : rest - 1;
      break;
    }
    // A copy, since `Close` in the handler resets the member.
    const LineHandler handler = this->line_handler;
    try {
      handler(lines.substr(begin, end - begin));
    } catch (const std::exception& error) {
      kernel::LogEvent(kLineHandlerFailed,
                       {{"reason", error.what()}, {"bytes", end - begin}});
      this->is_dispatching = false;
      this->dispatched_bytes = 0;
      this->Fail(CloseReason::kHandlerFailed);
      return;
    }
    begin = end + 2;
    search = begin;
    this->is_large_line_allowed = false;
  }
  this->is_dispatching = false;
  this->dispatched_bytes = 0;
  if (begin > 0 && input.capacity() > kKeptInputBytes) {
    // Memory that a long line took is not kept for the short ones after it.
    input = input.substr(begin);
  } else {
    input.erase(0, begin);
  }
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
  const std::size_t written =
      this->socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
  if (error && error != asio::error::would_block) {
    // The pending read then fails and calls the close handler, which thus does
    // not run inside this call.
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
    return;
  }
  if (written < bytes.size()) {
    this->pending_output += bytes.substr(written);
    this->ContinueWrite();
  }
}

void LineStream::ContinueWrite() {
  if (this->sent == this->output.size()) {
    this->output = std::exchange(this->pending_output, {});
    this->sent = 0;
  }
  this->is_writing = true;
  this->socket.async_write_some(
      asio::buffer(this->output.data() + this->sent,
                   this->output.size() - this->sent),
      [self = this->shared_from_this()](error_code error, std::size_t size) {
        self->is_writing = false;
        if (error) {
          self->Fail(CloseReason::kConnectionLost);
          return;
        }
        self->sent += size;
        if (self->OutputBytes() > 0) {
          self->ContinueWrite();
          return;
        }
        self->output = {};
        self->sent = 0;
        if (self->is_closing) {
          self->Close();
        } else {
          self->NotifyIfChanged();
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
  this->change_handler = nullptr;
  this->pending_input = {};
}

void LineStream::Reset() {
  if (this->is_closed) {
    return;
  }
  error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  // Without the shutdown, which would send what is left.
  this->is_withdrawable = true;
  this->Close();
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
