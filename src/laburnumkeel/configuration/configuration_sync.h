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

struct FetchPlan {
  FetchSource source = FetchSource::kStore;
  // Peer address `IP:port`; empty for the store.
  std::string address;
  // The lowest version to accept.
  std::uint64_t version = 0;

  bool operator==(const FetchPlan&) const = default;
};

// Decides when this VM fetches the configuration and from which source: first
// from the peer that announced a higher version, then from the store. Each
// fetch has a random delay so that a signal to the whole fleet does not make
// all VMs send requests at once. Thread-safe.
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

  // Call this when a signal or an exchange shows that the peer at `address`
  // holds `version`.
  void OnVersionAnnounced(std::uint64_t version, const std::string& address,
                          std::uint64_t held_version) {
    const std::lock_guard lock(this->mutex);
    if (version <= held_version || version <= this->target_version) {
      return;
    }
    this->target_version = version;
    this->peer = address;
    this->next_source = FetchSource::kPeer;
    this->due = this->clock.Now() + this->RandomDelay();
    kernel::LogEvent(kFetchPlanned, {{"version", version},
                                     {"held_version", held_version},
                                     {"peer", address}});
  }

  // The fetch that is due now, if any. It is assumed to have failed until the
  // version is held, so the next fetch, from the other source, is due after a
  // delay.
  std::optional<FetchPlan> NextFetch(std::uint64_t held_version) {
    const std::lock_guard lock(this->mutex);
    if (held_version >= this->target_version) {
      this->target_version = 0;
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
                     from_peer ? this->peer : "", this->target_version};
  }

  // Whether this VM must poll the store now: it has the poll role of its data
  // centre and last polled at least `kPollInterval` ago. `live_vms` are the
  // names of the other live VMs of the data centre.
  bool IsPollDue(const std::vector<std::string>& live_vms) {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->clock.Now();
    if ((this->last_poll.has_value() &&
         now - *this->last_poll < kPollInterval) ||
        !HasPollRole(this->data_centre, this->vm, live_vms)) {
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
  // 0 when there is nothing to fetch.
  std::uint64_t target_version = 0;
  std::string peer;
  FetchSource next_source = FetchSource::kPeer;
  kernel::Instant due;
  std::optional<kernel::Instant> last_poll;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_CONFIGURATION_SYNC_H_
