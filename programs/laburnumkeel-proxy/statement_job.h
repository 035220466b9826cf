#ifndef LABURNUMKEEL_PROGRAMS_PROXY_STATEMENT_JOB_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_STATEMENT_JOB_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/model/proxy_configuration.h"
#include "laburnumkeel/statements/session_values.h"
#include "laburnumkeel/statements/statement.h"
#include "programs/laburnumkeel-proxy/endpoint_connection.h"

namespace laburnumkeel::proxy {

// Outcome of a statement.
struct JobResult {
  // The endpoint's complete reply. Without one, `error` and `reason` describe
  // the failure.
  std::optional<statements::EndpointReply> reply;
  statements::ErrorCode error = statements::ErrorCode::kBusy;
  std::string reason;
  // The connection on which a transaction is open after the statement.
  std::shared_ptr<EndpointConnection> connection;
  // The reply came from the primary.
  bool was_primary = false;
  std::string endpoint_id;
};

// What a statement requires of the endpoint that runs it.
enum class JobKind {
  // May run on any endpoint whose log is recent enough.
  kRead,
  // Runs on the primary and must see every commit.
  kStrictRead,
  // Runs on the primary; an endpoint that is not the primary refuses it.
  kWrite,
};

// A client's statement on its way to an endpoint and back.
struct StatementJob {
  JobKind kind = JobKind::kRead;
  // The client's statement and the session state that it depends on.
  statements::Statement statement;
  std::map<std::string, std::string> values;
  std::optional<statements::PreparedShape> shape;
  std::string account;
  std::vector<std::string> account_regions;
  model::DatabaseRoute route;
  // The session's last commit.
  std::optional<model::LogPosition> session_position;
  kernel::Instant session_committed;
  kernel::Instant arrived;
  kernel::Instant deadline;
  // With success, the statement commits a write.
  bool commits_write = false;
  // The proxy opens a transaction before it sends the statement.
  bool opens_transaction = false;
  bool is_read_only_transaction = false;
  // A statement of the proxy itself, which may use a connection of any account
  // to `endpoint_id`; `statement.text` is sent without a client's statement id.
  bool is_internal = false;
  // For an internal statement that acts for the leader: whether it may still be
  // sent.
  std::function<bool()> may_send;
  std::function<void(JobResult result)> done;

  // State of the attempts.
  bool is_finished = false;
  int attempts = 0;
  std::set<std::string> excluded_endpoints;
  std::string endpoint_id;
  std::shared_ptr<EndpointConnection> connection;
  bool is_waiting_for_connection = false;
  // The client's statement has been sent to the endpoint.
  bool is_sent = false;
  // Newest known position of the primary's log when the statement was sent.
  std::optional<model::LogPosition> position_before;
  // When this VM last had a read lease on the endpoint before it sent the
  // statement or the BEGIN before it; empty without one.
  std::optional<kernel::Instant> read_lease_held_at;
  // The statement continues a transaction on `connection`.
  bool is_pinned = false;
  // When `endpoint_id` was chosen.
  kernel::Instant chosen_at;
  kernel::Instant attempt_started;
  kernel::Instant attempt_deadline;
  kernel::Instant retry_at;
  // When the statement is sent again on `connection`, after the endpoint
  // refused it as busy. Zero when no resend is due.
  kernel::Instant resend_at;
  // Number of times that an endpoint refused the statement as busy.
  int busy_refusals = 0;
};

using JobPointer = std::shared_ptr<StatementJob>;

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_STATEMENT_JOB_H_
