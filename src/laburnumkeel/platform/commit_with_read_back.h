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
  // The transaction did not take effect and never will.
  kNotCommitted,
  kUnknown,
};

struct CommitReport {
  CommitOutcome outcome = CommitOutcome::kUnknown;
  // Rows as last read; empty if none were read.
  std::vector<TableRow> rows;
  // Whether the store was unavailable and did not carry out the first attempt.
  bool store_unavailable = false;

  bool operator==(const CommitReport&) const = default;
};

namespace detail {

// Derives the outcome of the transaction from the current version of a row that
// it writes. The transaction can only create the version that follows the one
// in its condition, so a still later version leaves the outcome unknown.
inline CommitOutcome OutcomeFromRow(const TableTransaction& transaction,
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

inline CommitReport ReportFromRows(const TableTransaction& transaction,
                                   const std::vector<TableRow>& rows) {
  CommitReport report{CommitOutcome::kUnknown, rows, false};
  for (const RowWrite& write : transaction.writes) {
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [&](const TableRow& candidate) { return candidate.key == write.key; });
    if (row == rows.end()) {
      continue;
    }
    const CommitOutcome outcome = OutcomeFromRow(transaction, *row);
    if (outcome != CommitOutcome::kUnknown) {
      report.outcome = outcome;
      break;
    }
  }
  return report;
}

}  // namespace detail

// Commits the transaction. If the response is lost, reads the row back and
// determines by its operation id whether the transaction took effect. The
// transaction must write a row that one of its conditions names; otherwise a
// second attempt could apply it twice.
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
    report = detail::ReportFromRows(transaction, {row.value()});
  }
  if (row.has_value() && report.outcome == CommitOutcome::kUnknown) {
    // The first attempt may still be in transit. A second attempt either
    // commits in its place or finds that the version required by both is
    // superseded.
    const auto second = store.Commit(transaction);
    if (second.has_value()) {
      report = second.value().committed
                   ? CommitReport{CommitOutcome::kCommitted,
                                  second.value().rows, false}
                   : detail::ReportFromRows(transaction, second.value().rows);
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
