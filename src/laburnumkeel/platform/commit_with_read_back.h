#ifndef LABURNUMKEEL_PLATFORM_COMMIT_WITH_READ_BACK_H_
#define LABURNUMKEEL_PLATFORM_COMMIT_WITH_READ_BACK_H_

#include <algorithm>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/platform/events.h"
#include "laburnumkeel/platform/table_store.h"

namespace laburnumkeel::platform {

enum class CommitOutcome {
  kCommitted,
  // The transaction did not and will not take effect.
  kNotCommitted,
  kUnknown,
};

struct CommitReport {
  CommitOutcome outcome = CommitOutcome::kUnknown;
  // Rows as last seen; empty when none were seen.
  std::vector<TableRow> rows;
  // True when the store did not carry out the first attempt at all.
  bool store_unavailable = false;

  bool operator==(const CommitReport&) const = default;
};

namespace detail {

// What the current version of a written row tells about the transaction. It
// could only create the version after the one of its condition, so a later
// version hides whether it did.
inline CommitOutcome JudgeRow(const TableTransaction& transaction,
                              const TableRow& row) {
  if (row.operation_id == transaction.operation_id) {
    return CommitOutcome::kCommitted;
  }
  const auto condition = std::find_if(
      transaction.conditions.begin(), transaction.conditions.end(),
      [&](const RowCondition& candidate) { return candidate.key == row.key; });
  return condition != transaction.conditions.end() &&
                 row.version == condition->version + 1
             ? CommitOutcome::kNotCommitted
             : CommitOutcome::kUnknown;
}

inline CommitReport JudgeRows(const TableTransaction& transaction,
                              const std::vector<TableRow>& rows) {
  CommitReport report{CommitOutcome::kUnknown, rows, false};
  for (const RowWrite& write : transaction.writes) {
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [&](const TableRow& candidate) { return candidate.key == write.key; });
    if (row == rows.end()) {
      continue;
    }
    const CommitOutcome outcome = JudgeRow(transaction, *row);
    if (outcome != CommitOutcome::kUnknown) {
      report.outcome = outcome;
      break;
    }
  }
  return report;
}

}  // namespace detail

// Commits, and after a lost response finds out by operation id whether the
// transaction took effect. The transaction has to write a row that one of its
// conditions names: only then a second attempt cannot apply it twice.
template <TableStore Store>
CommitReport CommitWithReadBack(Store& store,
                                const TableTransaction& transaction) {
  const auto first = store.Commit(transaction);
  if (first.has_value()) {
    return CommitReport{first.value().committed ? CommitOutcome::kCommitted
                                                : CommitOutcome::kNotCommitted,
                        first.value().rows, false};
  }
  if (first.error().failure == PlatformFailure::kUnavailable) {
    return CommitReport{CommitOutcome::kNotCommitted, {}, true};
  }
  CommitReport report;
  const auto row = store.Read(transaction.writes.front().key);
  if (row.has_value()) {
    report = detail::JudgeRows(transaction, {row.value()});
  }
  if (row.has_value() && report.outcome == CommitOutcome::kUnknown) {
    // The first attempt may still be under way. A second one either takes
    // effect in its place or moves past the version that both need.
    const auto second = store.Commit(transaction);
    if (second.has_value()) {
      report = second.value().committed
                   ? CommitReport{CommitOutcome::kCommitted,
                                  second.value().rows, false}
                   : detail::JudgeRows(transaction, second.value().rows);
    }
  }
  kernel::LogEvent(
      kCommitReadBack,
      {{"operation_id", transaction.operation_id},
       {"key", transaction.writes.front().key},
       {"result", report.outcome == CommitOutcome::kCommitted ? "committed"
                  : report.outcome == CommitOutcome::kNotCommitted
                      ? "not_committed"
                      : "unknown"}});
  return report;
}

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_COMMIT_WITH_READ_BACK_H_
