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

  // Sends the bytes, which end in CR LF, after those of earlier calls.
  void Write(std::string_view bytes);

  // Closes the connection at once and releases both handlers.
  void Close();

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

  void Read();
  void Consume(std::size_t size);
  void DispatchLines();
  void ContinueWrite();
  void Fail(CloseReason reason);

  boost::asio::ip::tcp::socket socket;
  LineHandler line_handler;
  CloseHandler close_handler;
  std::array<char, kReadBytes> read_buffer;
  std::string pending_input;
  std::string pending_output;
  bool is_writing = false;
  bool is_closed = false;
  bool is_closing = false;
  bool is_withdrawable = false;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_LINE_STREAM_H_
