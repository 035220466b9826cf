#ifndef LABURNUMKEEL_TRANSPORT_LINE_STREAM_H_
#define LABURNUMKEEL_TRANSPORT_LINE_STREAM_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace laburnumkeel::transport {

// A TCP connection on an event loop that exchanges lines terminated by CR LF.
// All calls and handlers run on the thread of the loop.
class LineStream : public std::enable_shared_from_this<LineStream> {
 public:
  // A longer line closes the connection; the protocol allows 1 MiB per message.
  static constexpr std::size_t kMaximumLineBytes = std::size_t{1} << 20;
  // Memory for a line of any length.
  static constexpr std::size_t kLargeInputBytes =
      kMaximumLineBytes + (std::size_t{4} << 10);

  // Receives a line without CR LF; `line` is valid during the call only.
  using LineHandler = std::function<void(std::string_view line)>;
  enum class CloseReason {
    // The remote end closed the connection, or a read or write failed.
    kConnectionLost,
    kLineTooLong,
    // The handler of a line threw an exception.
    kHandlerFailed,
  };
  // Called once when the connection ends, but not after `Close`.
  using CloseHandler = std::function<void(CloseReason reason)>;

  explicit LineStream(boost::asio::ip::tcp::socket socket);

  void Start(LineHandler new_line_handler, CloseHandler new_close_handler);

  // Limits what the connection holds for a remote end that is not trusted: more
  // than kSmallInputBytes of a line are read only after AllowLargeLine.
  // `handler` is called when the bytes that the connection holds have changed.
  void LimitInput(std::function<void()> handler);

  // Keeps lines back until ReleaseLines. After kHeldInputBytes of them nothing
  // more is read, and the end of the connection is not noticed.
  void HoldLines();
  // May call the line handler.
  void ReleaseLines();

  // True while a line waits for AllowLargeLine.
  bool NeedsLargeLine() const;
  // Allocates kLargeInputBytes and continues to read the present line.
  void AllowLargeLine();

  // Memory of input that no handler has taken yet.
  std::size_t InputBytes() const;
  // Bytes that wait to be sent.
  std::size_t OutputBytes() const;
  // A part of a line has been received and the rest is not kept back.
  bool IsMidLine() const;

  // Sends the bytes, which end in CR LF, after those of earlier calls.
  void Write(std::string_view bytes);

  // Closes the connection at once and releases both handlers.
  void Close();

  // As Close, but the system discards what is not sent yet. Otherwise it keeps
  // that for a remote end that does not read.
  void Reset();

  // What is written from now on can be withdrawn; see EnableWithdrawal. Returns
  // false when the system refuses that.
  bool EnableWithdrawal(std::chrono::milliseconds timeout);
  void DisableWithdrawal();

  // Closes the connection when all bytes are sent; input is ignored from now
  // on.
  void CloseAfterWrite();

  bool IsClosed() const { return this->is_closed; }

 private:
  // Holds a typical message; longer ones take several reads.
  static constexpr std::size_t kReadBytes = 2048;

  static constexpr std::size_t kHeldInputBytes = std::size_t{16} << 10;
  static constexpr std::size_t kSmallInputBytes = std::size_t{64} << 10;
  // Memory that an empty input buffer may keep.
  static constexpr std::size_t kKeptInputBytes = 512;

  // Starts a read unless one is outstanding or input has to wait.
  void Read();
  bool MayRead() const;
  void Consume(std::size_t size);
  void NotifyIfChanged();
  void DispatchLines();
  void ContinueWrite();
  void Fail(CloseReason reason);

  boost::asio::ip::tcp::socket socket;
  LineHandler line_handler;
  CloseHandler close_handler;
  std::array<char, kReadBytes> read_buffer;
  std::string pending_input;
  // Bytes of `pending_input` that contain no line ending.
  std::size_t searched = 0;
  // Memory of the input whose lines are just being passed on.
  std::size_t dispatched_bytes = 0;
  // Bytes of a write that is outstanding, and how many of them are sent.
  std::string output;
  std::size_t sent = 0;
  // Waits for the end of the outstanding write.
  std::string pending_output;
  std::function<void()> change_handler;
  std::size_t notified_input = 0;
  std::size_t notified_output = 0;
  bool is_reading = false;
  bool is_dispatching = false;
  bool is_held = false;
  bool is_large_line_allowed = false;
  bool is_writing = false;
  bool is_closed = false;
  bool is_closing = false;
  bool is_withdrawable = false;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_LINE_STREAM_H_
