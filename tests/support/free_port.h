#ifndef LABURNUMKEEL_TESTS_SUPPORT_FREE_PORT_H_
#define LABURNUMKEEL_TESTS_SUPPORT_FREE_PORT_H_

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace laburnumkeel::testing {

namespace detail {

// Ports of loopback that are bound and not listened on. The system gives such a
// port to no other socket of its own accord, but one that sets SO_REUSEADDR, as
// listeners do, can still bind it by number.
class ReservedPorts {
 public:
  // Ports that are reserved at the same time. The oldest one is released for a
  // new one.
  static constexpr std::size_t kMaximum = 24;

  unsigned short Reserve() {
    const std::lock_guard lock(this->mutex);
    using boost::asio::ip::tcp;
    auto holder = std::make_unique<tcp::acceptor>(this->context, tcp::v4());
    // Programs that a test starts do not keep the port.
    fcntl(holder->native_handle(), F_SETFD, FD_CLOEXEC);
    holder->set_option(tcp::acceptor::reuse_address(true));
    holder->bind({boost::asio::ip::address_v4::loopback(), 0});
    const unsigned short port = holder->local_endpoint().port();
    this->holders.push_back(std::move(holder));
    if (this->holders.size() > kMaximum) {
      this->holders.pop_front();
    }
    return port;
  }

 private:
  std::mutex mutex;
  boost::asio::io_context context;
  std::deque<std::unique_ptr<boost::asio::ip::tcp::acceptor>> holders;
};

}  // namespace detail

// `IP:port` of a loopback port that no other socket gets by chance, so that a
// server which is started soon can listen on it.
inline std::string FreeAddress() {
  static detail::ReservedPorts ports;
  return "127.0.0.1:" + std::to_string(ports.Reserve());
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_FREE_PORT_H_
