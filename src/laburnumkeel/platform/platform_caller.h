#ifndef LABURNUMKEEL_PLATFORM_PLATFORM_CALLER_H_
#define LABURNUMKEEL_PLATFORM_PLATFORM_CALLER_H_

#include <chrono>
#include <string>
#include <string_view>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/platform/platform_error.h"
#include "laburnumkeel/transport/http_client.h"

namespace laburnumkeel::platform {

// Sends HTTP requests to one platform service, with the origin of this VM in a
// header. Thread-safe.
class PlatformCaller {
 public:
  // `address` is `IP:port`, `origin` is `<VM>/<data centre>`. `timeout` applies
  // to connecting and to the exchange separately.
  PlatformCaller(std::string address, std::string origin,
                 std::chrono::milliseconds timeout);

  // Any response is a success, whatever its status. Without a response, the
  // error is kUnavailable if no byte was sent, otherwise kUnknown.
  kernel::Result<transport::HttpResponse, PlatformError> Call(
      std::string method, std::string target, std::string body);

 private:
  transport::HttpClient client;
  const std::string origin;
  const std::chrono::milliseconds timeout;
};

// Percent-encodes the text for the end of a URL path. '/' is not encoded,
// because row keys contain it. Source: RFC 3986, section 2.1.
std::string EncodePath(std::string_view text);

// The error for a status that the caller does not expect. Status 503 means that
// the service did not carry out the operation.
PlatformError UnexpectedStatus(const transport::HttpResponse& response);

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_PLATFORM_CALLER_H_
