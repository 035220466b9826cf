#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_STATEMENT_OUTCOME_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_STATEMENT_OUTCOME_H_

#include <string>

#include "laburnumkeel/endpoints/endpoint_error.h"
#include "laburnumkeel/endpoints/statement.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/routing/routing_error.h"
#include "laburnumkeel/sessions/session.h"
#include "programs/laburnumkeel-entry/caller_error.h"

namespace laburnumkeel::entry {

// A statement that ran, with the endpoint that ran it.
struct ServedStatement {
  endpoints::StatementResult result;
  std::string endpoint;
  // `primary` or `replica`.
  std::string role;

  bool operator==(const ServedStatement&) const = default;
};

// How a statement ended and the session that follows.
struct StatementOutcome {
  kernel::Result<ServedStatement, CallerError> result;
  sessions::Session session;
};

// What the caller is told about an endpoint's or the router's error.
CallerError ToCallerError(const endpoints::EndpointError& error);
CallerError ToCallerError(const routing::RoutingError& error);

// The router's error as one that the retry policy takes: nothing was sent.
endpoints::EndpointError ToEndpointError(const routing::RoutingError& error);

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_STATEMENT_OUTCOME_H_
