#include "standins/standin-endpoint/statement_calls.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "standins/common/answer_text.h"

namespace laburnumkeel::standins {

namespace {

constexpr std::chrono::milliseconds kSlotTimeout{200};
constexpr const char* kExecute = "/v1/execute";
constexpr const char* kBegin = "/v1/begin";
constexpr const char* kCommit = "/v1/commit";
constexpr const char* kAbort = "/v1/abort";

// Empty when the body has no request id.
std::string RequestId(const std::string& text) {
  const auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("request_id") ||
      !body["request_id"].is_string()) {
    return "";
  }
  return body["request_id"].get<std::string>();
}

// Refusals have status 200 and differ from results by the field `error`.
transport::HttpResponse RefusalResponse(const std::string& request_id,
                                        Refusal refusal) {
  return JsonResponse(
      200, {{"request_id", request_id}, {"error", ToString(refusal)}});
}

// Prefixes the idempotency id with the client account, so that equal ids of
// different accounts do not collide.
std::string ScopedId(const nlohmann::json& body) {
  const auto id = body.value("idempotency_id", std::string());
  return id.empty() ? "" : body.at("account").get<std::string>() + '\n' + id;
}

}  // namespace

StatementCalls::StatementCalls(const StatementEnvironment& environment)
    : environment(environment) {}

bool StatementCalls::IsStatementCall(const transport::HttpRequest& request) {
  const std::string& path = request.target;
  return request.method == "POST" && (path == kExecute || path == kBegin ||
                                      path == kCommit || path == kAbort);
}

std::optional<transport::HttpResponse> StatementCalls::Admit(
    const transport::HttpRequest& request) {
  if (this->transaction.has_value()) {
    return std::nullopt;
  }
  this->request_slot = this->environment.slots.Acquire(kSlotTimeout);
  if (this->request_slot != nullptr) {
    return std::nullopt;
  }
  return RefusalResponse(RequestId(request.body), Refusal::kNoSlot);
}

transport::HttpResponse StatementCalls::Execute(
    const transport::HttpRequest& request) {
  std::this_thread::sleep_for(this->environment.statement_time);
  const std::string request_id = RequestId(request.body);
  try {
    const auto response =
        this->Run(request.target, nlohmann::json::parse(request.body));
    if (!response.has_value()) {
      return RefusalResponse(request_id, response.error());
    }
    const StatementResponse& value = response.value();
    if (!value.repeated) {
      this->environment.executions.Add(request_id);
    }
    nlohmann::json document{{"request_id", request_id},
                            {"term", value.at.term},
                            {"position", value.at.position},
                            {"result", nullptr}};
    if (value.text.has_value()) {
      document["result"] = *value.text;
    }
    return JsonResponse(200, document);
  } catch (const nlohmann::json::exception&) {
    return RefusalResponse(request_id, Refusal::kBadStatement);
  }
}

void StatementCalls::OnResponseWritten() { this->request_slot = nullptr; }

Database::Response StatementCalls::Run(const std::string& path,
                                       const nlohmann::json& body) {
  if (path == kExecute) {
    return this->RunStatement(body);
  }
  if (path == kAbort) {
    return this->Abort();
  }
  const auto term = body.at("term").get<model::Term>();
  return path == kBegin ? this->Begin(term) : this->Commit(term);
}

Database::Response StatementCalls::RunStatement(const nlohmann::json& body) {
  const auto statement =
      ParseStatement(body.at("statement").get<std::string>());
  const auto kind = body.at("kind").get<std::string>();
  if (!statement.has_value() || (kind != "read" && kind != "write")) {
    return Refusal::kBadStatement;
  }
  Database& database = this->environment.database;
  if (this->transaction.has_value()) {
    return database.RunInTransaction(
        *this->transaction, body.at("term").get<model::Term>(), *statement);
  }
  if (kind == "read") {
    return database.Read(*statement);
  }
  return database.Write(body.at("term").get<model::Term>(), *statement,
                        ScopedId(body));
}

Database::Response StatementCalls::Begin(model::Term term) {
  if (this->transaction.has_value()) {
    return Refusal::kBadStatement;
  }
  auto response = this->environment.database.Begin(term);
  if (response.has_value()) {
    this->transaction.emplace(term);
    this->transaction_slot = std::move(this->request_slot);
  }
  return response;
}

Database::Response StatementCalls::Commit(model::Term term) {
  if (!this->transaction.has_value()) {
    return Refusal::kBadStatement;
  }
  auto response = this->environment.database.Commit(*this->transaction, term);
  // A drain ends by itself, so the commit can be sent again; after any other
  // refusal it can never succeed.
  if (response.has_value() || response.error() != Refusal::kDraining) {
    this->EndTransaction();
  }
  return response;
}

Database::Response StatementCalls::Abort() {
  if (!this->transaction.has_value()) {
    return Refusal::kBadStatement;
  }
  this->EndTransaction();
  return StatementResponse{this->environment.database.Status().log_end,
                           "aborted"};
}

void StatementCalls::EndTransaction() {
  this->transaction.reset();
  this->request_slot = std::move(this->transaction_slot);
}

}  // namespace laburnumkeel::standins
