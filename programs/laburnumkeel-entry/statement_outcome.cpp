#include "programs/laburnumkeel-entry/statement_outcome.h"

namespace laburnumkeel::entry {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

int HttpStatus(const endpoints::EndpointError& error) {
  if (error.code == endpoints::codes::kBadStatement ||
      error.code == endpoints::codes::kInvalidText) {
    return kBadRequest;
  }
  if (error.code == endpoints::codes::kConflict) {
    return kConflict;
  }
  if (error.code == endpoints::codes::kAccessRevoked) {
    return kUnauthorized;
  }
  return error.outcome == model::Outcome::kNotRun ? kServiceUnavailable
                                                  : kGatewayTimeout;
}

}  // namespace

CallerError ToCallerError(const endpoints::EndpointError& error) {
  return CallerError{
      HttpStatus(error), error.code, error.message, error.outcome,
      std::chrono::ceil<std::chrono::seconds>(error.retry_after)};
}

CallerError ToCallerError(const routing::RoutingError& error) {
  const bool is_lost =
      error.failure == routing::RoutingFailure::kSessionPositionLost;
  return CallerError{is_lost ? kConflict : kServiceUnavailable,
                     std::string(routing::ToString(error.failure)),
                     error.message, model::Outcome::kNotRun};
}

endpoints::EndpointError ToEndpointError(const routing::RoutingError& error) {
  return endpoints::NotRun(routing::ToString(error.failure), error.message);
}

}  // namespace laburnumkeel::entry
