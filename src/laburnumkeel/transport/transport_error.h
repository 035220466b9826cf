#ifndef LABURNUMKEEL_TRANSPORT_TRANSPORT_ERROR_H_
#define LABURNUMKEEL_TRANSPORT_TRANSPORT_ERROR_H_

#include <string>

namespace laburnumkeel::transport {

// Whether a failed request may have reached the server.
enum class FailureStage {
  // No byte was written to the connection: the server cannot have executed the
  // request.
  kNotSent,
  // At least one byte may have been sent: the server may have executed the
  // request.
  kSent,
};

struct TransportError {
  FailureStage stage = FailureStage::kSent;
  // Message of the operating system or the HTTP library.
  std::string message;

  bool operator==(const TransportError&) const = default;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_TRANSPORT_ERROR_H_
