#ifndef LABURNUMKEEL_TRANSPORT_TRANSPORT_ERROR_H_
#define LABURNUMKEEL_TRANSPORT_TRANSPORT_ERROR_H_

#include <string>

namespace laburnumkeel::transport {

// How far a request got before it failed.
enum class FailureStage {
  // No byte was handed to the connection: the far end cannot have run it.
  kNotSent,
  // At least one byte may have left: the far end may have run it.
  kSent,
};

struct TransportError {
  FailureStage stage = FailureStage::kSent;
  // Operating system or protocol message.
  std::string message;

  bool operator==(const TransportError&) const = default;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_TRANSPORT_ERROR_H_
