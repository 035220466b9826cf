#ifndef LABURNUMKEEL_ENDPOINTS_ENDPOINT_ERROR_H_
#define LABURNUMKEEL_ENDPOINTS_ENDPOINT_ERROR_H_

#include <string>
#include <string_view>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/outcome.h"

namespace laburnumkeel::endpoints {

// Why a call to an endpoint failed. `outcome` is `kNotRun` or `kUnknown`, never
// `kDone`.
struct EndpointError {
  model::Outcome outcome = model::Outcome::kUnknown;
  // One of the codes below.
  std::string code;
  // For logs and callers. Contains neither keys nor statements.
  std::string message;
  // When the caller should try again; 0 when nothing is known of it.
  kernel::Duration retry_after{0};

  bool operator==(const EndpointError&) const = default;
};

namespace codes {

// Refusals by the endpoint before execution; outcome `not_run`.
inline constexpr std::string_view kStaleTerm = "stale_term";
inline constexpr std::string_view kNotPrimary = "not_primary";
inline constexpr std::string_view kNoSlot = "no_slot";
inline constexpr std::string_view kDraining = "draining";
inline constexpr std::string_view kBadStatement = "bad_statement";
// The commit failed because data that the transaction had read was changed; the
// transaction has ended.
inline constexpr std::string_view kConflict = "conflict";
// The response to `seal` or `promote` contains `accepted: false`.
inline constexpr std::string_view kNotAccepted = "not_accepted";

// Failures before the first byte was sent; outcome `not_run`.
inline constexpr std::string_view kConnectFailed = "connect_failed";
inline constexpr std::string_view kConnectionClosed = "connection_closed";
inline constexpr std::string_view kDeadlinePassed = "deadline_passed";
inline constexpr std::string_view kInvalidText = "invalid_text";
inline constexpr std::string_view kQueueTimeout = "queue_timeout";
// All connections of the pool that transactions may hold are in use.
inline constexpr std::string_view kNoTransactionSlot = "no_transaction_slot";
inline constexpr std::string_view kPoolClosed = "pool_closed";
inline constexpr std::string_view kAccessRevoked = "access_revoked";

// No primary could be chosen, so nothing was sent; outcome `not_run`. Both
// conditions last until the promotion in progress completes.
inline constexpr std::string_view kNoPrimary = "no_primary";
inline constexpr std::string_view kTermSuperseded = "term_superseded";

// Failures after sending; outcome `unknown`.
inline constexpr std::string_view kNoResponse = "no_response";
inline constexpr std::string_view kInvalidResponse = "invalid_response";
inline constexpr std::string_view kWrongRequestId = "wrong_request_id";

// Refusals by the transaction registry; outcome `not_run`.
inline constexpr std::string_view kTransactionUnknown = "transaction_unknown";
inline constexpr std::string_view kTransactionNotOnThisVm =
    "transaction_not_on_this_vm";
inline constexpr std::string_view kTransactionOfOtherAccount =
    "transaction_of_other_account";
inline constexpr std::string_view kTransactionBusy = "transaction_busy";
inline constexpr std::string_view kTransactionsClosed = "transactions_closed";

}  // namespace codes

EndpointError NotRun(std::string_view code, std::string_view message);

EndpointError Unknown(std::string_view code, std::string_view message);

// True if an endpoint refuses requests before execution with this code.
bool IsEndpointRefusal(std::string_view code);

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_ENDPOINT_ERROR_H_
