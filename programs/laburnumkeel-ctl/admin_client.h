#ifndef LABURNUMKEEL_PROGRAMS_CTL_ADMIN_CLIENT_H_
#define LABURNUMKEEL_PROGRAMS_CTL_ADMIN_CLIENT_H_

#include <string>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/transport/http_client.h"

namespace laburnumkeel::ctl {

// The reason why a call was refused or failed, as text for the operator. May
// have several lines.
struct CallError {
  std::string description;

  bool operator==(const CallError&) const = default;
};

// Calls the administration API of one VM.
class AdminClient {
 public:
  // `address` is `IP:port`, `secret` the administrator secret.
  AdminClient(const std::string& address, std::string secret);

  // Returns the body of a successful response.
  kernel::Result<std::string, CallError> Call(const std::string& method,
                                              const std::string& target,
                                              const std::string& body);

  // Like `Call`, but sends the request again when no response was received;
  // only for idempotent requests.
  kernel::Result<std::string, CallError> CallWithRetries(
      const std::string& method, const std::string& target,
      const std::string& body);

 private:
  transport::HttpRequest Request(const std::string& method,
                                 const std::string& target,
                                 const std::string& body) const;

  transport::HttpClient client;
  const std::string secret;
};

// Formats an error response as lines with its code, message and faults.
std::string DescribeError(const transport::HttpResponse& response);

}  // namespace laburnumkeel::ctl

#endif  // LABURNUMKEEL_PROGRAMS_CTL_ADMIN_CLIENT_H_
