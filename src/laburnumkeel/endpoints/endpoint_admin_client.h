#ifndef LABURNUMKEEL_ENDPOINTS_ENDPOINT_ADMIN_CLIENT_H_
#define LABURNUMKEEL_ENDPOINTS_ENDPOINT_ADMIN_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>

#include "laburnumkeel/endpoints/endpoint_connection.h"
#include "laburnumkeel/endpoints/endpoint_error.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/endpoint_status.h"
#include "laburnumkeel/transport/http_client.h"

namespace laburnumkeel::endpoints {

// Client for the status, seal, promote and drain calls of one endpoint. If a
// seal or a promotion fails with outcome `unknown`, it may have taken effect;
// the same promoter may repeat both. Thread-safe.
class EndpointAdminClient {
 public:
  using StatusResult = kernel::Result<model::EndpointStatus, EndpointError>;

  // `response_timeout` applies to each call, in addition to the `wait` of a
  // status call.
  EndpointAdminClient(
      const std::string& address, const Origin& origin,
      std::chrono::milliseconds response_timeout = std::chrono::seconds(1));

  // Long poll: the endpoint responds when its log end differs from `after`, at
  // the latest after `wait`. Without `after` it responds immediately.
  StatusResult Status(
      const std::optional<model::LogPosition>& after = std::nullopt,
      std::chrono::milliseconds wait = std::chrono::milliseconds(0));

  // These fail with `not_accepted` if the endpoint has sealed a higher term, or
  // this term for another promoter.
  StatusResult Seal(model::Term term, const std::string& promoter);
  StatusResult Promote(model::Term term, const std::string& promoter);

  // Makes the endpoint refuse new writes for `duration`.
  StatusResult Drain(std::chrono::milliseconds duration);

  // Aborts the calls in progress and refuses further ones, for shutdown.
  void Interrupt();

  const std::string& Address() const { return this->client.Address(); }

 private:
  StatusResult Send(const std::string& method, const std::string& target,
                    const std::string& body, std::chrono::milliseconds timeout);
  StatusResult SendTerm(const std::string& target, model::Term term,
                        const std::string& promoter);

  const std::string origin;
  const std::chrono::milliseconds response_timeout;
  transport::HttpClient client;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_ENDPOINT_ADMIN_CLIENT_H_
