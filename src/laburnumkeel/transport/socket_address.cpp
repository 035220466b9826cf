#include "laburnumkeel/transport/socket_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <string>

namespace laburnumkeel::transport {

std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(
    std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(
      std::string(address.substr(0, colon)), error);
  const std::string_view port_text = address.substr(colon + 1);
  std::uint16_t port = 0;
  const char* const end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace laburnumkeel::transport
