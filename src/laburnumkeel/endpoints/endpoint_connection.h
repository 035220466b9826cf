#ifndef LABURNUMKEEL_ENDPOINTS_ENDPOINT_CONNECTION_H_
#define LABURNUMKEEL_ENDPOINTS_ENDPOINT_CONNECTION_H_

#include <chrono>
#include <optional>
#include <string>

#include "laburnumkeel/endpoints/endpoint_error.h"
#include "laburnumkeel/endpoints/statement.h"
#include "laburnumkeel/endpoints/statement_codec.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/endpoint_status.h"
#include "laburnumkeel/transport/http_connection.h"

namespace laburnumkeel::endpoints {

// The value `<name>/<data centre>` of the header `Laburnumkeel-Origin`.
struct Origin {
  std::string name;
  std::string data_centre;

  bool operator==(const Origin&) const = default;

  std::string HeaderValue() const;
};

// One connection to an endpoint. Sends each request once. A response that is
// late, partial, oversized, or that does not echo the request id closes the
// connection and gives `unknown`; a refusal by the endpoint gives `not_run` and
// leaves it open. Not thread-safe.
class EndpointConnection {
 public:
  // Opens a connection to `address` (`IP:port`). Fails with `connect_failed`.
  static kernel::Result<EndpointConnection, EndpointError> Open(
      const std::string& address, const Origin& origin,
      const transport::ConnectionLimits& limits);

  // `timeout` counts from the call. Joins the transaction that is open on this
  // connection, if any.
  kernel::Result<StatementResult, EndpointError> Execute(
      const StatementRequest& request, std::chrono::milliseconds timeout);

  kernel::Result<StatementResult, EndpointError> Begin(
      const TransactionRequest& request, std::chrono::milliseconds timeout);
  kernel::Result<StatementResult, EndpointError> Commit(
      const TransactionRequest& request, std::chrono::milliseconds timeout);
  kernel::Result<StatementResult, EndpointError> Abort(
      const TransactionRequest& request, std::chrono::milliseconds timeout);

  // Asks for the status on this connection, to prove that it works.
  kernel::Result<model::EndpointStatus, EndpointError> Probe(
      std::chrono::milliseconds timeout);

  // False when the connection is closed, the far end closed it, or bytes
  // arrived that no request asked for.
  bool IsUsable() const;

  void Close();

  // Ends a call that another thread is in; it fails and the connection is
  // closed. The only call that another thread may make.
  void Interrupt();

 private:
  EndpointConnection(transport::HttpConnection connection, std::string origin);

  kernel::Result<transport::HttpResponse, EndpointError> Exchange(
      const transport::HttpRequest& request, std::chrono::milliseconds timeout);
  kernel::Result<StatementResult, EndpointError> Call(
      const std::string& target, const std::string& request_id,
      const std::optional<std::string>& body, ResultField result_field,
      std::chrono::milliseconds timeout);

  transport::HttpConnection connection;
  std::string origin;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_ENDPOINT_CONNECTION_H_
