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

// One connection to an endpoint. Sends each request at most once. If the
// response is late, partial, oversized or does not echo the request id, the
// connection is closed and the outcome is `unknown`; after a refusal by the
// endpoint the outcome is `not_run` and the connection stays open. Not
// thread-safe.
class EndpointConnection {
 public:
  // Opens a connection to `address` (`IP:port`). Fails with `connect_failed`.
  static kernel::Result<EndpointConnection, EndpointError> Open(
      const std::string& address, const Origin& origin,
      const transport::ConnectionLimits& limits);

  // `timeout` starts with the call. The statement runs in the transaction that
  // is open on this connection, if any.
  kernel::Result<StatementResult, EndpointError> Execute(
      const StatementRequest& request, std::chrono::milliseconds timeout);

  kernel::Result<StatementResult, EndpointError> Begin(
      const TransactionRequest& request, std::chrono::milliseconds timeout);
  kernel::Result<StatementResult, EndpointError> Commit(
      const TransactionRequest& request, std::chrono::milliseconds timeout);
  kernel::Result<StatementResult, EndpointError> Abort(
      const TransactionRequest& request, std::chrono::milliseconds timeout);

  // Requests the status on this connection, to check that it works.
  kernel::Result<model::EndpointStatus, EndpointError> Probe(
      std::chrono::milliseconds timeout);

  // False if either side has closed the connection, or if bytes arrived that
  // belong to no request.
  bool IsUsable() const;

  void Close();

  // Aborts a call in progress in another thread: the call fails and the
  // connection is closed. Only this function may be called from another thread.
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
