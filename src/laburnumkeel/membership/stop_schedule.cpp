#include "laburnumkeel/membership/stop_schedule.h"

#include <algorithm>
#include <cstdint>

namespace laburnumkeel::membership {

using kernel::Instant;
using std::chrono::milliseconds;

namespace {

// The grace period at which all times apply in full.
constexpr milliseconds kFullGracePeriod =
    StopSchedule::kBalancerDelay + StopSchedule::kIdleCloseTime +
    StopSchedule::kExitMargin + StopSchedule::kAnswerTime +
    StopSchedule::kWorkTime;

}  // namespace

StopSchedule::StopSchedule(Instant started, milliseconds grace_period,
                           std::size_t session_count)
    : started(started),
      grace_period(grace_period),
      idle_close_time(this->Scaled(std::min(
          kIdleCloseTime,
          kSessionCloseTime * static_cast<std::int64_t>(session_count)))) {}

milliseconds StopSchedule::Scaled(milliseconds time) const {
  if (this->grace_period >= kFullGracePeriod) {
    return time;
  }
  return time * this->grace_period.count() / kFullGracePeriod.count();
}

std::size_t StopSchedule::IdleSessionsToClose(std::size_t session_count,
                                              milliseconds tick,
                                              Instant now) const {
  const Instant first = this->started + this->Scaled(kBalancerDelay);
  if (now < first) {
    return 0;
  }
  const Instant last = first + this->idle_close_time;
  const std::int64_t remaining_ticks =
      std::max<std::int64_t>(1, (last - now) / tick);
  return session_count / static_cast<std::size_t>(remaining_ticks) + 1;
}

bool StopSchedule::MayExit(std::size_t session_count, Instant ended_at,
                           Instant now) const {
  if (this->IsOver(now)) {
    return true;
  }
  const bool is_handing_over =
      now < this->started + this->Scaled(kBalancerDelay + kReleaseTime);
  return session_count == 0 && !is_handing_over && now >= ended_at + kFlushTime;
}

}  // namespace laburnumkeel::membership
