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

// The dependencies that the statement calls of all connections share.
struct StatementEnvironment {
  Database& database;
  SlotPool& slots;
  ExecutionCounter& executions;
  // Simulated execution time of a statement.
  std::chrono::milliseconds statement_time;
};

// The calls `execute`, `begin`, `commit` and `abort` of one connection, with
// its transaction and its slots.
class StatementCalls {
 public:
  explicit StatementCalls(const StatementEnvironment& environment);

  static bool IsStatementCall(const transport::HttpRequest& request);

  // Acquires a slot, unless the open transaction holds one. Returns the refusal
  // `no_slot` when no slot becomes free in time, and empty otherwise.
  std::optional<transport::HttpResponse> Admit(
      const transport::HttpRequest& request);

  transport::HttpResponse Execute(const transport::HttpRequest& request);

  // Frees the slot of the request.
  void OnResponseWritten();

 private:
  Database::Response Run(const std::string& path, const nlohmann::json& body);
  Database::Response RunStatement(const nlohmann::json& body);
  Database::Response Begin(model::Term term);
  Database::Response Commit(model::Term term);
  Database::Response Abort();
  // The slot stays in use until the response is written.
  void EndTransaction();

  const StatementEnvironment environment;
  std::optional<Transaction> transaction;
  SlotPool::Slot transaction_slot;
  SlotPool::Slot request_slot;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_STATEMENT_CALLS_H_
