#ifndef LABURNUMKEEL_PLATFORM_PLATFORM_ERROR_H_
#define LABURNUMKEEL_PLATFORM_PLATFORM_ERROR_H_

#include <string>

namespace laburnumkeel::platform {

enum class PlatformFailure {
  // The operation was not carried out.
  kUnavailable,
  // There was no usable response; the operation may have taken effect.
  kUnknown,
  // The response does not follow the protocol.
  kInvalidResponse,
};

struct PlatformError {
  PlatformFailure failure = PlatformFailure::kUnavailable;
  std::string message;

  bool operator==(const PlatformError&) const = default;
};

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_PLATFORM_ERROR_H_
