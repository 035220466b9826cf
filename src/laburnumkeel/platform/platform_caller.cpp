#include "laburnumkeel/platform/platform_caller.h"

#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/platform/events.h"

namespace laburnumkeel::platform {

namespace {

constexpr int kServiceUnavailable = 503;

bool IsPathCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
         c == '~' || c == '/';
}

}  // namespace

PlatformCaller::PlatformCaller(std::string address, std::string origin,
                               std::chrono::milliseconds timeout)
    : client(std::move(address), transport::ConnectionLimits{timeout}),
      origin(std::move(origin)),
      timeout(timeout) {}

kernel::Result<transport::HttpResponse, PlatformError> PlatformCaller::Call(
    std::string method, std::string target, std::string body) {
  transport::HttpRequest request{std::move(method),
                                 std::move(target),
                                 {{"Laburnumkeel-Origin", this->origin}},
                                 std::move(body),
                                 {}};
  if (!request.body.empty()) {
    request.headers["Content-Type"] = "application/json";
  }
  auto response = this->client.Send(request, this->timeout);
  if (response.has_value()) {
    return std::move(response.value());
  }
  const transport::TransportError& error = response.error();
  kernel::LogEvent(kCallFailed, {{"method", request.method},
                                 {"target", request.target},
                                 {"address", this->client.Address()},
                                 {"reason", error.message}});
  return PlatformError{error.stage == transport::FailureStage::kNotSent
                           ? PlatformFailure::kUnavailable
                           : PlatformFailure::kUnknown,
                       error.message};
}

std::string EncodePath(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (IsPathCharacter(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 0xfU];
  }
  return encoded;
}

PlatformError UnexpectedStatus(const transport::HttpResponse& response) {
  return PlatformError{response.status == kServiceUnavailable
                           ? PlatformFailure::kUnavailable
                           : PlatformFailure::kInvalidResponse,
                       "status " + std::to_string(response.status)};
}

}  // namespace laburnumkeel::platform
