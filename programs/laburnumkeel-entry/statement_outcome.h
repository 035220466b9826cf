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

// The result of a successful statement and the endpoint that executed it.
struct ServedStatement {
  endpoints::StatementResult result;
  std::string endpoint;
  // `primary` or `replica`.
  std::string role;

  bool operator==(const ServedStatement&) const = default;
};

// The result or error of a statement, and the session after it.
struct StatementOutcome {
  kernel::Result<ServedStatement, CallerError> result;
  sessions::Session session;
};

// Converts an error of an endpoint or of the router to the caller's error.
CallerError ToCallerError(const endpoints::EndpointError& error);
CallerError ToCallerError(const routing::RoutingError& error);

// Converts an error of the router for the retry policy. The outcome is
// `not_run`, as nothing was sent.
endpoints::EndpointError ToEndpointError(const routing::RoutingError& error);

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_STATEMENT_OUTCOME_H_
