#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_DATABASE_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_DATABASE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/endpoint_status.h"
#include "standins/standin-endpoint/applied_state.h"
#include "standins/standin-endpoint/refusal.h"
#include "standins/standin-endpoint/replicated_log.h"
#include "standins/standin-endpoint/replication.h"
#include "standins/standin-endpoint/staleness.h"
#include "standins/standin-endpoint/term_state.h"
#include "standins/standin-endpoint/transaction.h"

namespace laburnumkeel::standins {

struct DatabaseOptions {
  std::string name;
  std::string group;
  // Time between receipt of an entry and its application on a replica.
  std::chrono::milliseconds replication_lag{0};
};

// The response to an executed statement.
struct StatementResponse {
  // For a write, the last entry of the log, which is at or after the write. For
  // a read, the last applied entry.
  model::LogPosition at;
  // Empty for a `GET` of an absent key.
  std::optional<std::string> text;
  // True when the stored result of an earlier request was returned.
  bool repeated = false;
};

// One member of a database group: log, terms and data. Thread-safe.
class Database {
 public:
  using Response = kernel::Result<StatementResponse, Refusal>;

  explicit Database(const DatabaseOptions& options);

  model::EndpointStatus Status();

  // Waits for at most `wait` until the log end differs from `after`, or a term
  // above `after.term` is sealed.
  model::EndpointStatus WaitForChange(const model::LogPosition& after,
                                      std::chrono::milliseconds wait);

  // Makes the empty database of a new group the primary of term 1.
  void BeginFirstTerm();

  bool Seal(model::Term term, const std::string& promoter);
  bool Promote(model::Term term, const std::string& promoter);

  // Refuses new writes, begins and commits for `time`; 0 ends a drain.
  void Drain(std::chrono::milliseconds time);

  Response Read(const Statement& statement);

  // `idempotency_id` is scoped to the client account; empty without one.
  Response Write(model::Term term, const Statement& statement,
                 const std::string& idempotency_id);

  // Checks whether a transaction may begin.
  Response Begin(model::Term term);
  Response RunInTransaction(Transaction& transaction, model::Term term,
                            const Statement& statement);
  Response Commit(const Transaction& transaction, model::Term term);

  // Stores entries received from the primary, which sent them `transit` ago.
  // Returns false when they do not follow an entry of the log, or when their
  // term is not accepted.
  bool Replicate(const Replication& replication,
                 std::chrono::milliseconds transit);

  // The entries after `position` for a member; empty unless primary.
  std::optional<Replication> EntriesAfter(std::uint64_t position) const;

  // Returns when the log of a primary is longer than `position`, or after
  // `timeout`.
  void WaitForEntries(std::uint64_t position,
                      std::chrono::milliseconds timeout);

  // Ends all calls that wait.
  void Stop();

 private:
  // Entries received together.
  struct ReceivedEntries {
    std::uint64_t end;
    kernel::Instant due;
  };

  // The functions below require that `mutex` is held.
  std::optional<Refusal> CheckPrimary(model::Term term) const;
  std::optional<Refusal> CheckNewWork(model::Term term) const;
  void AppendAsPrimary(LogEntry entry);
  // Called before a primary may become a replica: its staleness then counts
  // from this moment.
  void RecordOwnStateIfPrimary();
  void ApplyUpTo(std::uint64_t position);
  void ApplyDue();
  void DropAfter(std::uint64_t position);
  model::EndpointStatus CurrentStatus() const;
  // A response that carries the end of the log.
  StatementResponse MakeResponseAtLogEnd(std::optional<std::string> text,
                                         bool repeated) const;

  const DatabaseOptions options;
  kernel::BootClock clock;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  ReplicatedLog log;
  TermState terms;
  AppliedState state;
  Staleness staleness;
  std::deque<ReceivedEntries> unapplied;
  kernel::Instant drain_end{};
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_DATABASE_H_
