#ifndef LABURNUMKEEL_CONFIGURATION_CONFIGURATION_SYNC_H_
#define LABURNUMKEEL_CONFIGURATION_CONFIGURATION_SYNC_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/configuration/events.h"
#include "laburnumkeel/configuration/poll_role.h"
#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::configuration {

enum class FetchSource { kPeer, kStore };

// A fetch of the configuration that is due.
struct FetchPlan {
  FetchSource source = FetchSource::kStore;
  // Peer address `IP:port`; empty for the store.
  std::string address;
  // The lowest version that is of use.
  std::uint64_t version = 0;

  bool operator==(const FetchPlan&) const = default;
};

// Decides when this VM fetches the configuration and from whom. A peer that
// told of a higher version is asked first and the store after it, each after a
// random delay so that a signal to the whole fleet does not make all VMs call
// at once. Thread-safe.
template <kernel::Clock Clock>
class ConfigurationSync {
 public:
  static constexpr kernel::Duration kMaximumDelay =
      std::chrono::milliseconds(200);
  static constexpr kernel::Duration kPollInterval = std::chrono::seconds(1);

  ConfigurationSync(Clock clock, std::string vm, std::string data_centre,
                    std::uint64_t random_seed)
      : clock(std::move(clock)),
        vm(std::move(vm)),
        data_centre(std::move(data_centre)),
        random(random_seed) {}

  // A signal or an exchange told that the peer at `address` holds `version`.
  void VersionAnnounced(std::uint64_t version, const std::string& address,
                        std::uint64_t held_version) {
    const std::lock_guard lock(this->mutex);
    if (version <= held_version || version <= this->wanted_version) {
      return;
    }
    this->wanted_version = version;
    this->peer = address;
    this->next_source = FetchSource::kPeer;
    this->due = this->clock.Now() + this->RandomDelay();
    kernel::LogEvent(kFetchPlanned, {{"version", version},
                                     {"held_version", held_version},
                                     {"peer", address}});
  }

  // The fetch that is due now, if any. It then counts as failed until the
  // version is held: the next one, from the other source, comes after a delay.
  std::optional<FetchPlan> NextFetch(std::uint64_t held_version) {
    const std::lock_guard lock(this->mutex);
    if (held_version >= this->wanted_version) {
      this->wanted_version = 0;
      return std::nullopt;
    }
    const kernel::Instant now = this->clock.Now();
    if (now < this->due) {
      return std::nullopt;
    }
    const bool from_peer = this->next_source == FetchSource::kPeer;
    this->next_source = from_peer ? FetchSource::kStore : FetchSource::kPeer;
    this->due = now + this->RandomDelay();
    return FetchPlan{from_peer ? FetchSource::kPeer : FetchSource::kStore,
                     from_peer ? this->peer : "", this->wanted_version};
  }

  // Whether this VM has to read the store now: it is the first of the live VMs
  // of its data centre, and the last poll was a second ago. `live_vms` are the
  // names of the data centre's other live VMs.
  bool IsPollDue(const std::vector<std::string>& live_vms) {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->clock.Now();
    if ((this->last_poll.has_value() &&
         now - *this->last_poll < kPollInterval) ||
        !HoldsPollRole(this->data_centre, this->vm, live_vms)) {
      return false;
    }
    this->last_poll = now;
    return true;
  }

 private:
  kernel::Duration RandomDelay() {
    return kernel::Duration(
        std::uniform_int_distribution<kernel::Duration::rep>(
            0, kMaximumDelay.count())(this->random));
  }

  const Clock clock;
  const std::string vm;
  const std::string data_centre;
  std::mutex mutex;
  std::mt19937_64 random;
  // 0 while nothing is to be fetched.
  std::uint64_t wanted_version = 0;
  std::string peer;
  FetchSource next_source = FetchSource::kPeer;
  kernel::Instant due;
  std::optional<kernel::Instant> last_poll;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_CONFIGURATION_SYNC_H_
