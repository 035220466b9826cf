#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATED_LOG_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATED_LOG_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "laburnumkeel/model/log_position.h"
#include "standins/standin-endpoint/log_entry.h"

namespace laburnumkeel::standins {

// The log of an endpoint in memory. Positions count from 1; position 0 with
// term 0 is the end of the empty log.
class ReplicatedLog {
 public:
  model::LogPosition End() const;

  // True when the log has an entry of that term at that position.
  bool Has(const model::LogPosition& position) const;

  // The entry at a position from 1 to the end.
  const LogEntry& At(std::uint64_t position) const;

  // Term of the entry at a position from 0 to the end.
  model::Term TermAt(std::uint64_t position) const;

  // At most `limit` entries that follow `position`.
  std::vector<LogEntry> After(std::uint64_t position, std::size_t limit) const;

  // Terms of the log in ascending order.
  std::vector<model::TermStart> TermStarts() const;

  void Append(LogEntry entry);

  // Merges the entries that follow `previous` in the primary's log. A suffix of
  // this log that differs from them is replaced. Returns the last position that
  // was kept, or empty when the log has no entry `previous`.
  std::optional<std::uint64_t> Merge(const model::LogPosition& previous,
                                     const std::vector<LogEntry>& added);

 private:
  std::vector<LogEntry> entries;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATED_LOG_H_
