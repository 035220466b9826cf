#ifndef LABURNUMKEEL_MEMBERSHIP_STOP_SCHEDULE_H_
#define LABURNUMKEEL_MEMBERSHIP_STOP_SCHEDULE_H_

#include <chrono>
#include <cstddef>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::membership {

// Decides what a VM still does for its clients between a stop signal and its
// exit. Whatever it has taken is answered before it exits, and it exits as soon
// as nothing is left to answer, so that its successor starts early.
//
// Load patterns: one VM stops and its clients move to the others; all VMs stop
// at almost the same time, so clients keep coming until the end; statements are
// at work when the grace period ends.
class StopSchedule {
 public:
  // The load balancer stops sending clients after two failed readiness probes
  // of one second each.
  static constexpr std::chrono::milliseconds kBalancerDelay{2200};
  // Idle sessions are closed evenly after kBalancerDelay, so that the other VMs
  // are not flooded: over this time for each session, and at most over
  // kIdleCloseTime.
  static constexpr std::chrono::milliseconds kSessionCloseTime{8};
  static constexpr std::chrono::milliseconds kIdleCloseTime{1500};
  // The program exits this long before the end of the grace period, when it
  // would be killed. Covers a VM on which timers fire late.
  static constexpr std::chrono::milliseconds kExitMargin{800};
  // Statements that are at work this long before the exit are given up. Their
  // answers leave in this time.
  static constexpr std::chrono::milliseconds kAnswerTime{400};
  // At least this long passes from the last accepted statement until
  // statements are given up, so that what was accepted has time to run.
  static constexpr std::chrono::milliseconds kWorkTime{1000};
  // The store takes the release of the leader lease in this time, also when it
  // is slow.
  static constexpr std::chrono::milliseconds kReleaseTime{300};
  // Clients receive the last answers in this time after their sessions ended.
  static constexpr std::chrono::milliseconds kFlushTime{150};

  // `grace_period` counts from `started`; the process is killed at its end.
  // `session_count` sessions were open at `started`.
  StopSchedule(kernel::Instant started, std::chrono::milliseconds grace_period,
               std::size_t session_count);

  bool operator==(const StopSchedule&) const = default;

  // False when statements outside a transaction and new clients are refused:
  // the sessions had time to move to other VMs.
  bool MayAdmit(kernel::Instant now) const {
    return now <
           this->started + this->Scaled(kBalancerDelay) + this->idle_close_time;
  }

  // False when the leader lease is to be released. While all VMs stop, none of
  // them can acquire it from a VM that releases it earlier.
  bool MayLead(kernel::Instant now) const {
    return now < this->started + this->Scaled(kBalancerDelay);
  }

  // True when transactions between two statements are to be aborted: they had
  // half of the grace period to end.
  bool AreTransactionsOver(kernel::Instant now) const {
    return now >= this->started + this->grace_period / 2;
  }

  // True when statements that are still at work are to be given up.
  bool AreStatementsOver(kernel::Instant now) const {
    return now >= this->GiveUpAt();
  }

  // The number of idle sessions to close now, when this is called every `tick`
  // while `session_count` sessions are open.
  std::size_t IdleSessionsToClose(std::size_t session_count,
                                  std::chrono::milliseconds tick,
                                  kernel::Instant now) const;

  // True when the program has no more time.
  bool IsOver(kernel::Instant now) const {
    return now >=
           this->started + this->grace_period - this->Scaled(kExitMargin);
  }

  // True when the program has nothing left to do, or no more time. `ended_at`
  // is when the last session ended; it only counts while `session_count` is 0.
  // A VM without sessions waits for the release of the leader lease as well.
  bool MayExit(std::size_t session_count, kernel::Instant ended_at,
               kernel::Instant now) const;

 private:
  // A short grace period shortens all times in proportion.
  std::chrono::milliseconds Scaled(std::chrono::milliseconds time) const;
  kernel::Instant GiveUpAt() const {
    return this->started + this->grace_period -
           this->Scaled(kExitMargin + kAnswerTime);
  }

  kernel::Instant started;
  std::chrono::milliseconds grace_period;
  std::chrono::milliseconds idle_close_time;
};

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_STOP_SCHEDULE_H_
