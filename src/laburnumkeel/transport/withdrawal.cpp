#include "laburnumkeel/transport/withdrawal.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace laburnumkeel::transport {

using boost::asio::ip::tcp;

namespace {

bool SetUserTimeout(tcp::socket& socket, std::chrono::milliseconds timeout) {
  const auto timeout_ms = static_cast<unsigned>(timeout.count());
  return setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                    &timeout_ms, sizeof timeout_ms) == 0;
}

}  // namespace

bool EnableWithdrawal(tcp::socket& socket, std::chrono::milliseconds timeout) {
  boost::system::error_code error;
  socket.set_option(tcp::socket::linger(true, 0), error);
  return !error && SetUserTimeout(socket, timeout);
}

void DisableWithdrawal(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::socket::linger(false, 0), ignored);
  SetUserTimeout(socket, std::chrono::milliseconds(0));
}

}  // namespace laburnumkeel::transport
