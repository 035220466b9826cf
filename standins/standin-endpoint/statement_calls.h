#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_STATEMENT_CALLS_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_STATEMENT_CALLS_H_

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "laburnumkeel/transport/http_message.h"
#include "standins/standin-endpoint/database.h"
#include "standins/standin-endpoint/execution_counter.h"
#include "standins/standin-endpoint/slot_pool.h"

namespace laburnumkeel::standins {

// What the statement calls of all connections share.
struct StatementEnvironment {
  Database& database;
  SlotPool& slots;
  ExecutionCounter& executions;
  // Time that a statement takes.
  std::chrono::milliseconds statement_time;
};

// The calls `execute`, `begin`, `commit` and `abort` of one connection, with
// its transaction and its slots.
class StatementCalls {
 public:
  explicit StatementCalls(const StatementEnvironment& environment);

  static bool IsStatementCall(const transport::HttpRequest& request);

  // Takes a slot, unless the open transaction holds one. A response is the
  // refusal for want of a slot.
  std::optional<transport::HttpResponse> Admit(
      const transport::HttpRequest& request);

  transport::HttpResponse Execute(const transport::HttpRequest& request);

  // Frees the slot of the request.
  void Answered();

 private:
  Database::Answer Run(const std::string& path, const nlohmann::json& body);
  Database::Answer RunStatement(const nlohmann::json& body);
  Database::Answer Begin(model::Term term);
  Database::Answer Commit(model::Term term);
  Database::Answer Abort();
  // The slot stays taken until the response is written.
  void EndTransaction();

  const StatementEnvironment environment;
  std::optional<Transaction> transaction;
  SlotPool::Slot transaction_slot;
  SlotPool::Slot request_slot;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_STATEMENT_CALLS_H_
