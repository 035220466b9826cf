#ifndef LABURNUMKEEL_USAGE_WINDOW_SETTLER_H_
#define LABURNUMKEEL_USAGE_WINDOW_SETTLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "laburnumkeel/usage/usage_record.h"
#include "laburnumkeel/usage/window_clock.h"

namespace laburnumkeel::usage {

// Decides on the leader when the counts of a window are settled, and which
// reports are due. A window is settled by writing its counts to the store, once
// and in the order of the windows; only then they are sent, and whoever sends
// them again sends what was written. What was proposed to the store stays the
// proposal until it is known whether it was written: a write without an answer
// may be executed later.
class WindowSettler {
 public:
  // Reports that wait for the platform; further windows are not settled.
  static constexpr std::size_t kMaximumUnacknowledged = 8;
  // Windows that end longer ago are not settled any more, so that a fleet that
  // was down for hours does not report each window without counts.
  static constexpr WindowNumber kMaximumBacklog = 12;

  // `delay` is how long after its end a window's report is due.
  WindowSettler(WindowClock clock, std::chrono::milliseconds delay)
      : clock(clock), delay(delay) {}

  // This VM has acquired the leader lease, or does not hold it any more.
  void Reset();

  // The record was read from the store by a call that was sent after this VM
  // acquired the lease, and after the last proposal was sent; empty when there
  // is none that can be read. `era` is the store's. Windows up to
  // `known_settled` are known to be settled by other means, and `acquired_in`
  // is the window in which this VM acquired the lease. Returns false when the
  // row holds other counts for the proposed window, which are valid then.
  bool OnRead(const std::optional<UsageRecord>& row, std::uint64_t era,
              WindowNumber known_settled, WindowNumber acquired_in);

  // True when the record was read and no proposal is undecided.
  bool IsReady() const { return this->record && !this->proposal; }

  // The windows that are not settled any more because they ended too long ago,
  // first and last; empty when there are none. They count as settled from now
  // on.
  std::optional<std::pair<WindowNumber, WindowNumber>> SkipBacklog(
      UnixMilliseconds now);

  // The window to settle now; empty when none is due. `are_all_heard` tells
  // whether all VMs have reported what they counted in it.
  template <class AreAllHeard>
  std::optional<WindowNumber> DueWindow(UnixMilliseconds now,
                                        AreAllHeard are_all_heard) const {
    if (!this->IsReady() ||
        this->record->unacknowledged.size() - this->acknowledged.size() >=
            kMaximumUnacknowledged) {
      return std::nullopt;
    }
    const WindowNumber window = this->record->settled_through + 1;
    const UnixMilliseconds end = this->clock.EndOf(window);
    if (now < end + this->MinimumWait().count()) {
      return std::nullopt;
    }
    if (now < end + this->MaximumWait().count() && !are_all_heard(window)) {
      return std::nullopt;
    }
    return window;
  }

  // The due window is not settled, and not reported.
  void Skip() { ++this->record->settled_through; }

  // Proposes the counts of the due window; they are in `Proposal` until it is
  // decided.
  void Propose(AccountCounts counts, std::uint64_t era);

  // The record to write to the store; empty when there is none.
  const std::optional<UsageRecord>& Proposal() const { return this->proposal; }

  // The proposal was written.
  void OnWritten();

  // The report to send next: a settled window without an acknowledgement.
  std::optional<WindowNumber> NextReport() const;

  // The settled counts of a window; null when no report of it is to be sent.
  const AccountCounts* CountsOf(WindowNumber window) const;

  // True when settled windows wait for an acknowledgement.
  bool HasReports() const { return this->NextReport().has_value(); }

  // The platform has acknowledged a report, or it is not sent any more.
  void OnAcknowledged(WindowNumber window);

  // No window up to this one takes counts any more; the lowest number before
  // the record was read.
  WindowNumber SettledThrough() const;

  // How long after its end a window is settled at the earliest: statements that
  // began in it are answered by then, and their counts have arrived.
  std::chrono::milliseconds MinimumWait() const;
  // How long VMs are waited for that have not reported.
  std::chrono::milliseconds MaximumWait() const { return this->delay / 2; }

 private:
  const WindowClock clock;
  const std::chrono::milliseconds delay;
  // What is in the store, for certain.
  std::optional<UsageRecord> record;
  // What may be in the store.
  std::optional<UsageRecord> proposal;
  // Windows of `record` that the platform has acknowledged.
  std::set<WindowNumber> acknowledged;
};

}  // namespace laburnumkeel::usage

#endif  // LABURNUMKEEL_USAGE_WINDOW_SETTLER_H_
