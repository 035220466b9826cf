#ifndef LABURNUMKEEL_PROGRAMS_PROXY_CLIENT_SESSION_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_CLIENT_SESSION_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/admission/client_load.h"
#include "laburnumkeel/kernel/memory_holding.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/statements/session_values.h"
#include "laburnumkeel/statements/statement.h"
#include "laburnumkeel/transport/line_stream.h"
#include "platform/wire_codec.h"
#include "programs/laburnumkeel-proxy/account_gate.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/service_pool.h"
#include "programs/laburnumkeel-proxy/statement_job.h"

namespace laburnumkeel::proxy {

// The parts of the program that a session depends on.
struct SessionEnvironment {
  ProxyContext& context;
  std::function<ServicePool&(const std::string& service)> find_pool;
  AccountGate& gate;
};

// One client connection with its session values, prepared statements and
// transaction.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(SessionEnvironment& environment,
                boost::asio::ip::tcp::socket socket,
                std::function<void(ClientSession&)> on_end);
  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  void Start();

  // No statement is outstanding and no transaction is open.
  bool IsIdle() const;
  // A transaction is open and no statement is outstanding.
  bool IsIdleInTransaction() const;
  // No statement is outstanding and nothing is lost when the session ends: it
  // is idle, or its transaction has failed.
  bool IsAtRest() const;
  kernel::Instant LastActivity() const { return this->last_activity; }

  // Ends the session, cancels its outstanding statement and rolls back its
  // transaction.
  void End();

  // Ends a session without an outstanding statement, because it has to move to
  // another VM. If the client is just sending a statement, the error sent here
  // is the reply to it and means that it has not run; it is never run.
  void Dismiss();

  // Answers what the session still works on, truthfully and at once, and ends
  // it.
  void GiveUp(const std::string& reason);

  // Continues a STARTUP that arrived before the VM had a configuration, or
  // refuses it when it has waited for kMaximumStartupWait.
  void ContinueStartup();

  // Rolls back the open transaction; the client's next statement fails.
  void AbortTransaction(const std::string& reason);

  // What the session holds and does, to decide which one is closed.
  admission::ClientLoad Load() const;

  // Ends the session at once because a resource is needed for others; `cause`
  // is told to the client where that is the reply to what it sends.
  void Evict(const std::string& cause);

  // Tries to get memory for the large message that the session waits to
  // receive. Returns false when there is none yet.
  bool ContinueLargeMessage();

  // True when the client has exceeded one of the time limits. Has to be called
  // about once a second.
  bool CheckOverdue(kernel::Instant now);
  // Ends a session for which CheckOverdue returned true.
  void EndOverdue();

  const std::shared_ptr<EndpointConnection>& TransactionConnection() const {
    return this->transaction_connection;
  }

 private:
  // Clients give up after 2 s.
  static constexpr std::chrono::milliseconds kMaximumStartupWait{1200};

  void OnLine(std::string_view line);
  // The stream holds more or fewer bytes than before.
  void OnBuffersChanged();
  void CountBuffers();
  // Keeps further messages back while one is processed or an answer is not
  // taken.
  void ContinueInput();
  void Write(std::string_view bytes);
  void OnClosed(transport::LineStream::CloseReason reason);
  // Reports a protocol error to the client and ends the session.
  void RejectLine(const std::string& reason, std::size_t bytes);
  void OnStartup(const platform_adapter::ClientStartup& startup);
  void RefuseStartup(statements::ErrorCode code, std::string_view text);
  void OnStatement(statements::Statement statement);
  void OnLocalStatement(const statements::Statement& statement);
  void OnBegin(const statements::Statement& statement);
  void OnEndInFailedState(const statements::Statement& statement);
  void OnRollback();
  // Stores a session value or a prepared statement. Sends an error to the
  // client and returns false when the session or the VM has no room for it.
  bool StoreState(const statements::Statement& statement);
  void Forward(statements::Statement statement);
  void Submit(statements::Statement statement,
              std::optional<statements::PreparedShape> shape);
  void OnResult(const StatementJob& job, JobResult result);

  // Sets the route and account of the next operation from the current
  // configuration. Sends an error to the client and returns false if there are
  // none, or when the VM is about to stop.
  bool ResolveOperation();
  // The account that the session's key belongs to at present; the anonymous one
  // for an unknown key on a public route; empty when the key gives no access.
  std::optional<std::string> AccountFor(
      const model::DatabaseRoute& requested) const;
  // Ends the open transaction because its key has lost the account.
  void DenyTransaction(bool is_commit);
  // True when a new operation might not be answered before the VM stops.
  bool IsStopping() const;
  // Runs `next` when the operation is within its account's limit, and sends an
  // error to the client otherwise.
  void AdmitOperation(std::function<void()> next);

  void ReplyCompletion(const std::string& signature);
  void ReplyError(statements::ErrorCode code, std::string_view text);
  void RollBackTransaction();

  SessionEnvironment& environment;
  std::shared_ptr<transport::LineStream> stream;
  std::function<void(ClientSession&)> on_end;
  std::string database;
  std::string key;
  bool is_started = false;
  // STARTUP was received and the VM has no configuration yet.
  bool is_startup_pending = false;
  bool has_ended = false;
  statements::SessionValues values;
  statements::TransactionState state = statements::TransactionState::kIdle;
  bool is_read_only_transaction = false;
  // Set while a transaction is open at an endpoint and no statement of it runs.
  std::shared_ptr<EndpointConnection> transaction_connection;
  bool has_transaction_written = false;
  model::DatabaseRoute route;
  std::string account;
  std::optional<model::LogPosition> last_commit;
  kernel::Instant last_committed;
  JobPointer job;
  // An operation is waiting for admission by the account gate.
  bool is_admitting = false;
  // Id of the current or latest statement, for the log.
  std::string statement_id;
  kernel::Instant last_activity;
  // When a message was last complete, a statement answered or an answer taken.
  kernel::Instant last_progress;
  // Since when a message is incomplete or an answer is not taken, as seen by
  // CheckOverdue; zero otherwise.
  kernel::Instant unfinished_since;
  kernel::Instant untaken_since;
  const char* overdue_cause = "";
  bool is_awaiting_memory = false;
  kernel::MemoryHolding session_memory;
  kernel::MemoryHolding buffer_memory;
  kernel::MemoryHolding state_memory;
  kernel::MemoryHolding statement_memory;
  // Prepared statements on the connection of the open transaction.
  kernel::MemoryHolding transaction_memory;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_CLIENT_SESSION_H_
