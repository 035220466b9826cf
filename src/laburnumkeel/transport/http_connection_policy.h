#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_POLICY_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "laburnumkeel/transport/http_connection_state.h"

namespace laburnumkeel::transport {

// Limits on what a connection may do.
struct HttpConnectionLimits {
  // Time for a request to arrive, from its first byte.
  kernel::Duration receive_timeout{};
  // Time for the client to take an answer.
  kernel::Duration send_timeout{};
  // Bytes of a request beyond which it is refused before its end.
  std::size_t maximum_request_bytes = 0;

  bool operator==(const HttpConnectionLimits&) const = default;
};

// Why a server ends a connection.
enum class HttpConnectionFault {
  kReceiveTimeout,
  kSendTimeout,
  kRequestTooLarge,
};

// Returns the limit that the connection exceeds, if any.
std::optional<HttpConnectionFault> FindFault(const HttpConnectionState& state,
                                             const HttpConnectionLimits& limits,
                                             kernel::Instant now);

// Returns the number of the connection to close so that a new one can be
// accepted. First those that were never answered: idle ones, then those whose
// request or answer has taken a second. Then the one that has been idle for
// longest, then any whose handler does not run. Empty when there is none, or
// when a connection is closing already, which makes room by itself.
std::optional<std::uint64_t> ChooseForConnection(
    std::span<const HttpConnectionState> connections, kernel::Instant now);

// Returns the number of the connection to close so that a request can be
// received: of those that have received or sent for at least a second, the one
// with the largest product of bytes and time. Empty when there is none.
std::optional<std::uint64_t> ChooseForMemory(
    std::span<const HttpConnectionState> connections, kernel::Instant now);

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_POLICY_H_
