#ifndef LABURNUMKEEL_USAGE_FLEET_TIME_H_
#define LABURNUMKEEL_USAGE_FLEET_TIME_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/usage/window_clock.h"

namespace laburnumkeel::usage {

// Estimates true time from the times of day of all VMs, any of which may differ
// or jump by seconds. The leader takes the median over the VMs that report; the
// other VMs take the leader's time. In between, and without a leader, the time
// goes on by the boot clock, which does not jump.
class FleetTime {
 public:
  // A leader's time that took longer to arrive is too uncertain.
  static constexpr std::chrono::milliseconds kMaximumRoundTrip{300};
  // With fewer VMs, a median does not tell which of them is wrong.
  static constexpr std::size_t kMinimumSamples = 3;
  // Reports of VMs count for this long.
  static constexpr std::chrono::milliseconds kSampleLifetime{5000};

  // True time by what is known; `own` is this VM's time of day, which is used
  // until another one is known.
  UnixMilliseconds At(kernel::Instant now, UnixMilliseconds own);

  // The leader told its time in answer to a message.
  void OnLeaderTime(UnixMilliseconds time, kernel::Instant sent,
                    kernel::Instant received);

  // A VM told the leader its time of day.
  void OnVmTime(const std::string& vm, UnixMilliseconds time,
                kernel::Instant received);

  // Sets the time to the median over this VM and those that reported to it.
  void Elect(UnixMilliseconds own, kernel::Instant now);

  // This VM does not lead any more.
  void ForgetVms() { this->samples.clear(); }

 private:
  struct Sample {
    // True time at boot, by the VM's time of day.
    UnixMilliseconds boot_time = 0;
    kernel::Instant received;
  };

  // True time at boot of this machine; empty while unknown.
  std::optional<UnixMilliseconds> boot_time;
  std::map<std::string, Sample> samples;
};

}  // namespace laburnumkeel::usage

#endif  // LABURNUMKEEL_USAGE_FLEET_TIME_H_
