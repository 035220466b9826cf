#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_STATE_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_STATE_H_

#include <cstddef>
#include <cstdint>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::transport {

enum class HttpConnectionPhase {
  // No byte of a request is known to have arrived since the last answer.
  kIdle,
  // A request has begun to arrive.
  kReceiving,
  // The request arrived and its handler runs.
  kHandling,
  // The answer is being sent.
  kSending,
  // The server has closed the connection; its thread still has to end.
  kClosing,
};

// What a server knows of a connection of a client.
struct HttpConnectionState {
  // Increases with each connection of a server.
  std::uint64_t number = 0;
  HttpConnectionPhase phase = HttpConnectionPhase::kIdle;
  kernel::Instant phase_since{};
  // Requests that were answered.
  std::uint64_t answered = 0;
  // Memory that the connection holds beyond its fixed part.
  std::size_t held_bytes = 0;
  // Bytes of the request that the server has read; 0 unless receiving.
  std::size_t received_bytes = 0;

  bool operator==(const HttpConnectionState&) const = default;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CONNECTION_STATE_H_
