#include "laburnumkeel/configuration/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace laburnumkeel::configuration {

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(text.substr(0, colon), error);
  int port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  return !error && parsed.ec == std::errc() && parsed.ptr == end && port >= 1 &&
         port <= 65535;
}

}  // namespace laburnumkeel::configuration
