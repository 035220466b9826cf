#ifndef LABURNUMKEEL_TRANSPORT_SOCKET_ADDRESS_H_
#define LABURNUMKEEL_TRANSPORT_SOCKET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace laburnumkeel::transport {

// Parses `IP:port`; returns an empty optional when `address` has another form.
std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(
    std::string_view address);

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_SOCKET_ADDRESS_H_
