#include "programs/laburnumkeel-proxy/client_session.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using platform_adapter::ClientStartup;
using statements::ErrorCode;
using statements::Statement;
using statements::StatementKind;
using statements::TransactionState;
using std::chrono::milliseconds;

namespace {

// Memory of a session without buffers, values and statements.
constexpr std::size_t kSessionBytes =
    sizeof(ClientSession) + sizeof(transport::LineStream) + 1024;
// Memory of an entry of a table, besides its name and value.
constexpr std::size_t kEntryBytes = 192;
// Memory of a statement under way, and the copies of its text that exist at
// once: of the session, on the way to the endpoint, and there.
constexpr std::size_t kStatementBytes = 2048;
constexpr std::size_t kTextCopies = 3;
// Account name used to connect to endpoints for clients of a public route that
// have no account.
constexpr const char* kAnonymousAccount = "-";

bool IsWrite(const Statement& statement,
             const std::optional<statements::PreparedShape>& shape) {
  return statement.kind == StatementKind::kWrite || (shape && shape->is_write);
}

}  // namespace

ClientSession::ClientSession(SessionEnvironment& environment,
                             boost::asio::ip::tcp::socket socket,
                             std::function<void(ClientSession&)> on_end)
    : environment(environment),
      stream(std::make_shared<transport::LineStream>(std::move(socket))),
      on_end(std::move(on_end)),
      last_activity(environment.context.clock.Now()),
      last_progress(this->last_activity),
      session_memory(environment.context.clients.Memory()),
      buffer_memory(environment.context.clients.Memory()),
      state_memory(environment.context.clients.Memory()),
      statement_memory(environment.context.clients.Memory()),
      transaction_memory(environment.context.clients.Memory()) {
  this->session_memory.Resize(kSessionBytes);
}

ClientSession::~ClientSession() {
  this->environment.context.clients.Remove(*this);
}

void ClientSession::Start() {
  const std::weak_ptr<ClientSession> weak = this->shared_from_this();
  this->environment.context.clients.Add(*this);
  this->environment.context.clients.CheckBudget();
  this->stream->LimitInput([weak] {
    if (const auto session = weak.lock()) {
      session->OnBuffersChanged();
    }
  });
  this->stream->Start(
      [weak](std::string_view line) {
        if (const auto session = weak.lock()) {
          session->OnLine(line);
        }
      },
      [weak](transport::LineStream::CloseReason reason) {
        if (const auto session = weak.lock()) {
          session->OnClosed(reason);
        }
      });
}

bool ClientSession::IsIdle() const {
  return !this->job && !this->is_admitting && !this->is_startup_pending &&
         this->state == TransactionState::kIdle;
}

bool ClientSession::IsIdleInTransaction() const {
  return !this->job && this->state == TransactionState::kOpen;
}

bool ClientSession::IsAtRest() const {
  return !this->job && !this->is_admitting && !this->is_startup_pending &&
         this->state != TransactionState::kOpen;
}

void ClientSession::End() {
  if (this->has_ended) {
    return;
  }
  this->has_ended = true;
  const auto self = this->shared_from_this();
  if (this->job) {
    this->environment.find_pool(this->route.service)
        .Cancel(std::exchange(this->job, nullptr));
  }
  this->RollBackTransaction();
  this->stream->CloseAfterWrite();
  ClientGuard& clients = this->environment.context.clients;
  clients.Remove(*this);
  if (!this->stream->IsClosed()) {
    clients.Linger(this->stream);
  }
  this->on_end(*this);
}

void ClientSession::Evict(const std::string& cause) {
  if (this->has_ended) {
    return;
  }
  this->environment.context.clients.Note(cause);
  // With a statement under way nothing can be promised.
  if (!this->job && this->stream->OutputBytes() == 0) {
    this->Write(platform_adapter::EncodeError(ErrorCode::kOverload, cause));
  }
  if (this->stream->OutputBytes() > 0) {
    this->stream->Reset();
  }
  this->End();
}

admission::ClientLoad ClientSession::Load() const {
  admission::ClientLoad load;
  load.held_bytes = this->session_memory.Bytes() + this->buffer_memory.Bytes() +
                    this->state_memory.Bytes() + this->statement_memory.Bytes();
  load.last_progress = this->last_progress;
  load.is_started = this->is_started;
  load.is_at_work = !this->IsIdle();
  load.is_at_database = static_cast<bool>(this->job);
  return load;
}

bool ClientSession::CheckOverdue(Instant now) {
  const admission::ClientLimits& limits =
      this->environment.context.clients.Limits();
  const auto is_over = [now](Instant& since, bool is_pending,
                             milliseconds limit) {
    if (!is_pending) {
      since = Instant();
    } else if (since == Instant()) {
      since = now;
    }
    return is_pending && now >= since + limit;
  };
  if (!this->is_started && !this->is_startup_pending &&
      now >= this->last_activity + limits.handshake_timeout) {
    this->overdue_cause = "no STARTUP in time";
  } else if (is_over(this->unfinished_since, this->stream->IsMidLine(),
                     limits.message_timeout)) {
    this->overdue_cause = "a message was not finished in time";
  } else if (is_over(this->untaken_since, this->stream->OutputBytes() > 0,
                     limits.answer_timeout)) {
    this->overdue_cause = "answer not taken";
  } else {
    return false;
  }
  return true;
}

void ClientSession::EndOverdue() {
  if (this->has_ended) {
    return;
  }
  this->environment.context.clients.Note(this->overdue_cause);
  if (this->stream->OutputBytes() == 0) {
    this->Write(platform_adapter::EncodeError(
        this->is_awaiting_memory ? ErrorCode::kOverload : ErrorCode::kMalformed,
        this->overdue_cause));
  }
  if (this->stream->OutputBytes() > 0) {
    this->stream->Reset();
  }
  this->End();
}

void ClientSession::OnBuffersChanged() {
  if (this->has_ended) {
    return;
  }
  this->CountBuffers();
  ClientGuard& clients = this->environment.context.clients;
  if (this->stream->NeedsLargeLine() && !this->is_awaiting_memory &&
      (clients.IsAnyWaiting() || !this->ContinueLargeMessage())) {
    this->is_awaiting_memory = true;
    clients.AwaitMemory(*this);
  }
  if (this->stream->OutputBytes() == 0 && this->untaken_since != Instant()) {
    this->untaken_since = Instant();
    this->last_progress = this->environment.context.clock.Now();
  }
  this->ContinueInput();
}

bool ClientSession::ContinueLargeMessage() {
  if (!this->has_ended && this->stream->NeedsLargeLine()) {
    const std::size_t bytes =
        this->stream->OutputBytes() + transport::LineStream::kLargeInputBytes;
    if (!this->environment.context.clients.GrowForState(
            *this, this->buffer_memory, bytes)) {
      return false;
    }
    this->last_progress = this->environment.context.clock.Now();
    this->stream->AllowLargeLine();
  }
  this->is_awaiting_memory = false;
  return true;
}

void ClientSession::CountBuffers() {
  this->buffer_memory.Resize(this->stream->InputBytes() +
                             this->stream->OutputBytes());
  this->environment.context.clients.CheckBudget();
}

void ClientSession::ContinueInput() {
  if (this->has_ended) {
    return;
  }
  if (this->job || this->is_admitting) {
    this->stream->HoldLines();
    return;
  }
  this->statement_memory.Resize(0);
  if (this->state != TransactionState::kOpen) {
    this->transaction_memory.Resize(0);
  }
  if (this->is_startup_pending || this->stream->OutputBytes() > 0) {
    this->stream->HoldLines();
  } else {
    this->stream->ReleaseLines();
  }
}

void ClientSession::Write(std::string_view bytes) {
  this->stream->Write(bytes);
  if (this->stream->OutputBytes() > 0) {
    this->CountBuffers();
  }
}

void ClientSession::Dismiss() {
  this->Write(platform_adapter::EncodeError(
      ErrorCode::kOverload, "the session has to move to another VM"));
  this->End();
}

void ClientSession::GiveUp(const std::string& reason) {
  if (this->is_startup_pending) {
    this->RefuseStartup(ErrorCode::kOverload, reason);
  } else if (this->job) {
    this->environment.find_pool(this->route.service).GiveUp(this->job, reason);
  } else if (std::exchange(this->is_admitting, false)) {
    this->ReplyError(ErrorCode::kOverload, reason);
    this->ContinueInput();
  }
  if (!this->has_ended) {
    this->Dismiss();
  }
}

void ClientSession::RollBackTransaction() {
  if (!this->transaction_connection) {
    return;
  }
  this->environment.find_pool(this->route.service)
      .RollBack(std::exchange(this->transaction_connection, nullptr));
}

void ClientSession::AbortTransaction(const std::string& reason) {
  ProxyContext& context = this->environment.context;
  context.metrics.Count("transactions_aborted");
  context.request_log.Write(kOpenTransactionEnded, context.clock.Now(),
                            {{"database", this->database},
                             {"account", this->account},
                             {"previous_request", this->statement_id},
                             {"reason", reason}});
  this->RollBackTransaction();
  if (this->state == TransactionState::kOpen) {
    this->state = TransactionState::kFailed;
  }
}

void ClientSession::OnLine(std::string_view line) {
  this->last_activity = this->environment.context.clock.Now();
  this->last_progress = this->last_activity;
  this->unfinished_since = Instant();
  platform_adapter::ClientMessage message =
      platform_adapter::DecodeClientLine(line);
  if (std::holds_alternative<platform_adapter::ClientTermination>(message)) {
    this->End();
    return;
  }
  if (const auto* startup = std::get_if<ClientStartup>(&message)) {
    this->OnStartup(*startup);
    this->ContinueInput();
    return;
  }
  auto* statement = std::get_if<Statement>(&message);
  if (statement == nullptr || !this->is_started) {
    this->RejectLine(
        statement == nullptr ? "not a message" : "a statement before STARTUP",
        line.size());
    return;
  }
  this->OnStatement(std::move(*statement));
  this->ContinueInput();
}

void ClientSession::OnClosed(transport::LineStream::CloseReason reason) {
  if (reason == transport::LineStream::CloseReason::kLineTooLong) {
    this->RejectLine("the line is too long",
                     transport::LineStream::kMaximumLineBytes);
    return;
  }
  this->End();
}

void ClientSession::RejectLine(const std::string& reason, std::size_t bytes) {
  ProxyContext& context = this->environment.context;
  context.metrics.Count("client_lines_rejected");
  context.request_log.Write(kClientLineRejected, context.clock.Now(),
                            {{"database", this->database},
                             {"account", this->account},
                             {"previous_request", this->statement_id},
                             {"bytes", bytes},
                             {"reason", reason}});
  this->Write(platform_adapter::EncodeError(ErrorCode::kMalformed, reason));
  this->End();
}

void ClientSession::OnStartup(const ClientStartup& startup) {
  if (this->is_started || this->is_startup_pending) {
    this->RejectLine("a second STARTUP", 0);
    return;
  }
  this->database = startup.database;
  this->key = startup.key;
  this->is_startup_pending = true;
  this->ContinueStartup();
}

void ClientSession::RefuseStartup(ErrorCode code, std::string_view text) {
  this->environment.context.metrics.Count("sessions_refused");
  this->environment.context.request_log.Write(
      kSessionRefused, this->environment.context.clock.Now(),
      {{"database", this->database},
       {"code", ToString(code)},
       {"reason", text}});
  this->Write(platform_adapter::EncodeError(code, text));
  this->End();
}

void ClientSession::ContinueStartup() {
  if (!this->is_startup_pending || this->has_ended) {
    return;
  }
  if (this->IsStopping()) {
    this->RefuseStartup(ErrorCode::kOverload, "the VM is stopping");
    return;
  }
  const auto configuration = this->environment.context.configuration;
  if (!configuration) {
    const Instant now = this->environment.context.clock.Now();
    if (now >= this->last_activity + kMaximumStartupWait) {
      this->RefuseStartup(ErrorCode::kBusy, "no configuration yet");
    }
    return;
  }
  const auto found = configuration->routes.find(this->database);
  if (found == configuration->routes.end()) {
    this->RefuseStartup(ErrorCode::kNoDatabase, "unknown database");
    return;
  }
  if (!found->second.is_public &&
      !configuration->account_of_key.contains(this->key)) {
    this->RefuseStartup(ErrorCode::kDenied, "unknown key");
    return;
  }
  this->is_startup_pending = false;
  this->is_started = true;
  this->environment.context.metrics.Count("sessions_started");
  this->Write(
      platform_adapter::EncodeReady(TransactionState::kIdle, std::nullopt));
  this->ContinueInput();
}

void ClientSession::ReplyCompletion(const std::string& signature) {
  this->Write(platform_adapter::EncodeCompletion(signature) +
              platform_adapter::EncodeReady(this->state, std::nullopt));
}

void ClientSession::ReplyError(ErrorCode code, std::string_view text) {
  ProxyContext& context = this->environment.context;
  context.metrics.Count("statements_refused");
  context.request_log.Write(
      kStatementRefused, context.clock.Now(),
      {{"request", this->statement_id},
       {"database", this->database},
       {"service", this->route.service},
       {"account", this->account},
       {"code", ToString(code)},
       {"reason", text},
       {"configuration",
        context.configuration ? context.configuration->version : 0},
       {"in_transaction", this->state != TransactionState::kIdle}});
  this->Write(platform_adapter::EncodeError(code, text) +
              platform_adapter::EncodeReady(this->state, std::nullopt));
}

void ClientSession::OnStatement(Statement statement) {
  this->statement_id = statement.id;
  const bool ends = statement.kind == StatementKind::kCommit ||
                    statement.kind == StatementKind::kRollback;
  if (this->state == TransactionState::kFailed) {
    if (ends) {
      this->OnEndInFailedState(statement);
    } else {
      this->ReplyError(ErrorCode::kMalformed, "the transaction has failed");
    }
    return;
  }
  switch (statement.kind) {
    case StatementKind::kSet:
    case StatementKind::kPrepare:
    case StatementKind::kDeallocate:
      this->OnLocalStatement(statement);
      return;
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      this->OnBegin(statement);
      return;
    case StatementKind::kRollback:
      this->OnRollback();
      return;
    case StatementKind::kMalformed:
      this->ReplyError(ErrorCode::kMalformed, "unknown statement");
      return;
    case StatementKind::kCommit:
      if (this->state != TransactionState::kOpen) {
        this->ReplyError(ErrorCode::kMalformed, "no transaction is open");
        return;
      }
      this->Forward(std::move(statement));
      return;
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      this->Forward(std::move(statement));
      return;
  }
}

void ClientSession::OnLocalStatement(const Statement& statement) {
  if (statement.kind != StatementKind::kDeallocate) {
    if (this->StoreState(statement)) {
      this->ReplyCompletion("-");
    }
    return;
  }
  const auto found = this->values.prepared.find(statement.name);
  if (found == this->values.prepared.end()) {
    this->ReplyError(ErrorCode::kNoPreparedStatement, statement.name);
    return;
  }
  const std::size_t freed =
      kEntryBytes + found->first.size() + found->second.shape.size();
  this->values.prepared.erase(found);
  this->state_memory.Resize(this->state_memory.Bytes() - freed);
  this->ReplyCompletion("-");
}

bool ClientSession::StoreState(const Statement& statement) {
  const bool is_value = statement.kind == StatementKind::kSet;
  std::size_t replaced = 0;
  const std::size_t name_bytes = kEntryBytes + statement.name.size();
  const auto value = this->values.values.find(statement.name);
  const auto prepared = this->values.prepared.find(statement.name);
  if (is_value && value != this->values.values.end()) {
    replaced = name_bytes + value->second.size();
  } else if (!is_value && prepared != this->values.prepared.end()) {
    replaced = name_bytes + prepared->second.shape.size();
  }
  const std::size_t bytes = this->state_memory.Bytes() - replaced + name_bytes +
                            statement.argument.size();
  ClientGuard& clients = this->environment.context.clients;
  if (bytes > clients.Limits().session_state_bytes) {
    clients.Note("session state too large");
    this->ReplyError(ErrorCode::kOverload,
                     "the session holds too many values and statements");
    return false;
  }
  if (!clients.GrowForState(*this, this->state_memory, bytes)) {
    clients.Note("no memory for session state");
    this->ReplyError(ErrorCode::kOverload, "no memory for session state");
    return false;
  }
  if (is_value) {
    this->values.values[statement.name] = statement.argument;
  } else {
    this->values.prepared[statement.name] = {statement.is_write,
                                             statement.argument};
  }
  return true;
}

bool ClientSession::IsStopping() const {
  const ProxyContext& context = this->environment.context;
  return context.stop && !context.stop->MayAdmit(context.clock.Now());
}

bool ClientSession::ResolveOperation() {
  if (this->IsStopping()) {
    this->ReplyError(ErrorCode::kOverload, "the VM is stopping");
    return false;
  }
  const auto configuration = this->environment.context.configuration;
  const auto found = configuration->routes.find(this->database);
  if (found == configuration->routes.end()) {
    this->ReplyError(ErrorCode::kNoDatabase, "the database was removed");
    return false;
  }
  const auto owner = this->AccountFor(found->second);
  if (!owner) {
    this->ReplyError(ErrorCode::kDenied, "unknown key");
    return false;
  }
  this->route = found->second;
  this->account = *owner;
  return true;
}

std::optional<std::string> ClientSession::AccountFor(
    const model::DatabaseRoute& requested) const {
  const auto& accounts =
      this->environment.context.configuration->account_of_key;
  const auto owner = accounts.find(this->key);
  if (owner != accounts.end()) {
    return owner->second;
  }
  return requested.is_public ? std::optional<std::string>(kAnonymousAccount)
                             : std::nullopt;
}

void ClientSession::AdmitOperation(std::function<void()> next) {
  this->is_admitting = true;
  const std::weak_ptr<ClientSession> weak = this->shared_from_this();
  this->environment.gate.Admit(
      this->account, this->statement_id,
      [weak, next = std::move(next)](bool is_admitted) {
        const auto session = weak.lock();
        if (!session || session->has_ended) {
          return;
        }
        session->is_admitting = false;
        if (is_admitted) {
          next();
        } else {
          session->environment.context.metrics.Count("operations_over_limit");
          session->ReplyError(ErrorCode::kOverload,
                              "the account is over its rate");
        }
        session->ContinueInput();
      });
}

void ClientSession::OnBegin(const Statement& statement) {
  if (this->state != TransactionState::kIdle) {
    this->ReplyError(ErrorCode::kMalformed, "a transaction is open");
    return;
  }
  if (!this->ResolveOperation()) {
    return;
  }
  const ProxyContext& context = this->environment.context;
  if (context.stop && context.stop->AreTransactionsOver(context.clock.Now())) {
    this->ReplyError(ErrorCode::kOverload, "the VM is stopping");
    return;
  }
  const bool is_read_only = statement.kind == StatementKind::kBeginReadOnly;
  this->AdmitOperation([this, is_read_only] {
    this->state = TransactionState::kOpen;
    this->has_transaction_written = false;
    this->is_read_only_transaction = is_read_only;
    this->ReplyCompletion("-");
  });
}

void ClientSession::OnEndInFailedState(const Statement& statement) {
  this->RollBackTransaction();
  this->state = TransactionState::kIdle;
  if (statement.kind == StatementKind::kRollback) {
    this->ReplyCompletion("-");
    return;
  }
  this->ReplyError(ErrorCode::kAborted, "the transaction has failed");
}

void ClientSession::OnRollback() {
  if (this->state == TransactionState::kIdle) {
    this->ReplyError(ErrorCode::kMalformed, "no transaction is open");
    return;
  }
  this->RollBackTransaction();
  this->state = TransactionState::kIdle;
  this->ReplyCompletion("-");
}

void ClientSession::DenyTransaction(bool is_commit) {
  this->AbortTransaction("the key was withdrawn");
  if (is_commit) {
    this->state = TransactionState::kIdle;
  }
  this->ReplyError(ErrorCode::kDenied, "the key was withdrawn");
}

void ClientSession::Forward(Statement statement) {
  if (this->state == TransactionState::kOpen &&
      this->AccountFor(this->route) != this->account) {
    this->DenyTransaction(statement.kind == StatementKind::kCommit);
    return;
  }
  std::optional<statements::PreparedShape> shape;
  if (statement.kind == StatementKind::kExecute) {
    const auto prepared = this->values.prepared.find(statement.name);
    if (prepared == this->values.prepared.end()) {
      this->ReplyError(ErrorCode::kNoPreparedStatement, statement.name);
      return;
    }
    shape = prepared->second;
  }
  // The values are sent with the statement as far as the connection to the
  // endpoint does not have them.
  const std::size_t bytes =
      kStatementBytes +
      kTextCopies *
          (statement.text.size() + (shape ? shape->shape.size() : 0)) +
      (this->values.values.empty() ? 0 : 2 * this->state_memory.Bytes());
  ClientGuard& clients = this->environment.context.clients;
  bool has_room =
      clients.GrowForStatement(*this, this->statement_memory, bytes);
  if (shape && this->state == TransactionState::kOpen) {
    // The connection keeps all prepared statements of its transaction.
    const std::size_t kept =
        this->transaction_memory.Bytes() + kEntryBytes + shape->shape.size();
    has_room = has_room &&
               clients.GrowForStatement(*this, this->transaction_memory, kept);
  }
  if (!has_room) {
    clients.Note("no memory for a statement");
    if (this->state == TransactionState::kOpen) {
      this->RollBackTransaction();
      this->state = statement.kind == StatementKind::kCommit
                        ? TransactionState::kIdle
                        : TransactionState::kFailed;
    }
    this->ReplyError(ErrorCode::kOverload, "no memory for the statement");
    return;
  }
  if (this->state == TransactionState::kOpen) {
    this->Submit(std::move(statement), std::move(shape));
    return;
  }
  if (this->ResolveOperation()) {
    this->AdmitOperation([this, statement = std::move(statement),
                          shape = std::move(shape)]() mutable {
      this->Submit(std::move(statement), std::move(shape));
    });
  }
}

void ClientSession::Submit(Statement statement,
                           std::optional<statements::PreparedShape> shape) {
  const bool in_transaction = this->state == TransactionState::kOpen;
  const bool is_write = IsWrite(statement, shape);
  const bool is_commit = statement.kind == StatementKind::kCommit;
  auto next = std::make_shared<StatementJob>();
  next->statement = std::move(statement);
  next->values = this->values.values;
  next->shape = std::move(shape);
  next->account = this->account;
  next->route = this->route;
  const auto& accounts = this->environment.context.configuration->accounts;
  const auto found = accounts.find(this->account);
  if (found != accounts.end()) {
    next->account_regions = found->second.allowed_regions;
  }
  next->session_position = this->last_commit;
  next->session_committed = this->last_committed;
  next->arrived = this->environment.context.clock.Now();
  next->deadline = next->arrived + this->route.statement_timeout;
  next->opens_transaction = in_transaction && !this->transaction_connection;
  next->is_read_only_transaction = this->is_read_only_transaction;
  next->commits_write =
      in_transaction ? is_commit && this->has_transaction_written : is_write;
  const bool may_use_replica =
      this->route.consistency != model::ReadConsistency::kPrimary &&
      (in_transaction ? this->is_read_only_transaction : !is_write);
  if (may_use_replica) {
    next->kind = JobKind::kRead;
  } else {
    next->kind =
        !in_transaction && is_write ? JobKind::kWrite : JobKind::kStrictRead;
  }
  const std::weak_ptr<ClientSession> weak = this->shared_from_this();
  next->done = [weak, raw = next.get()](JobResult result) {
    if (const auto session = weak.lock()) {
      session->OnResult(*raw, std::move(result));
    }
  };
  this->job = next;
  ServicePool& pool = this->environment.find_pool(this->route.service);
  if (this->transaction_connection) {
    // The pool returns the connection with the result.
    pool.SubmitPinned(next,
                      std::exchange(this->transaction_connection, nullptr));
  } else {
    pool.Submit(next);
  }
}

void ClientSession::OnResult(const StatementJob& finished, JobResult result) {
  const JobPointer keep = std::exchange(this->job, nullptr);
  if (this->has_ended) {
    return;
  }
  this->last_progress = this->environment.context.clock.Now();
  const bool in_transaction = this->state == TransactionState::kOpen;
  const bool is_commit = finished.statement.kind == StatementKind::kCommit;
  const bool is_write = IsWrite(finished.statement, finished.shape);
  this->environment.context.metrics.Observe(
      "statement_ms",
      std::chrono::duration<double, std::milli>(
          this->environment.context.clock.Now() - finished.arrived)
          .count());
  const bool has_succeeded = result.reply && result.reply->signature;
  this->transaction_connection = result.connection;
  if (has_succeeded) {
    this->has_transaction_written |= in_transaction && is_write;
    if (finished.commits_write && result.reply->position) {
      this->last_committed = this->environment.context.clock.Now();
      this->last_commit = this->last_commit ? std::max(*this->last_commit,
                                                       *result.reply->position)
                                            : *result.reply->position;
    }
    if (is_commit) {
      this->state = TransactionState::kIdle;
    }
    std::string answer = std::move(result.reply->rows);
    answer += platform_adapter::EncodeCompletion(*result.reply->signature);
    answer +=
        platform_adapter::EncodeReady(this->state, result.reply->position);
    this->Write(answer);
    this->ContinueInput();
    return;
  }
  if (in_transaction) {
    this->RollBackTransaction();
    this->state =
        is_commit ? TransactionState::kIdle : TransactionState::kFailed;
  }
  if (result.reply) {
    this->ReplyError(result.reply->error, result.reply->error_text);
  } else {
    this->ReplyError(result.error, result.reason);
  }
  this->ContinueInput();
}

}  // namespace laburnumkeel::proxy
