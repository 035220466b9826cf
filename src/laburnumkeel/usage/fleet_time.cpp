#include "laburnumkeel/usage/fleet_time.h"

#include <algorithm>
#include <vector>

#include "laburnumkeel/kernel/milliseconds.h"

namespace laburnumkeel::usage {

using kernel::Instant;

namespace {

// Times of day further off are nonsense, and could overflow.
constexpr UnixMilliseconds kLatestTime = 253'402'300'800'000;

bool IsPlausible(UnixMilliseconds time) {
  return time > 0 && time < kLatestTime;
}

UnixMilliseconds BootTimeFor(UnixMilliseconds time, Instant at) {
  return time - kernel::ToMilliseconds(at.time_since_epoch());
}

}  // namespace

UnixMilliseconds FleetTime::At(Instant now, UnixMilliseconds own) {
  if (!this->boot_time) {
    this->boot_time = BootTimeFor(own, now);
  }
  return *this->boot_time + kernel::ToMilliseconds(now.time_since_epoch());
}

void FleetTime::OnLeaderTime(UnixMilliseconds time, Instant sent,
                             Instant received) {
  if (IsPlausible(time) && received - sent <= kMaximumRoundTrip) {
    this->boot_time = BootTimeFor(time, sent + (received - sent) / 2);
  }
}

void FleetTime::OnVmTime(const std::string& vm, UnixMilliseconds time,
                         Instant received) {
  if (IsPlausible(time)) {
    this->samples[vm] = {BootTimeFor(time, received), received};
  }
}

void FleetTime::Elect(UnixMilliseconds own, Instant now) {
  std::erase_if(this->samples, [&](const auto& entry) {
    return now > entry.second.received + kSampleLifetime;
  });
  std::vector<UnixMilliseconds> boot_times{BootTimeFor(own, now)};
  for (const auto& [vm, sample] : this->samples) {
    boot_times.push_back(sample.boot_time);
  }
  if (boot_times.size() < kMinimumSamples) {
    return;
  }
  const auto middle =
      boot_times.begin() + static_cast<std::ptrdiff_t>(boot_times.size() / 2);
  std::nth_element(boot_times.begin(), middle, boot_times.end());
  this->boot_time = *middle;
}

}  // namespace laburnumkeel::usage
