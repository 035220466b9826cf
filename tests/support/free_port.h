#ifndef LABURNUMKEEL_TESTS_SUPPORT_FREE_PORT_H_
#define LABURNUMKEEL_TESTS_SUPPORT_FREE_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace laburnumkeel::testing {

// `IP:port` of a loopback port that was free at the time of the call.
inline std::string FreeAddress() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_FREE_PORT_H_
