#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_FLEET_STATE_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_FLEET_STATE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "laburnumkeel/configuration/configuration_holder.h"
#include "laburnumkeel/configuration/configuration_sync.h"
#include "laburnumkeel/configuration/freshness.h"
#include "laburnumkeel/configuration/startup_rule.h"
#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/membership/vm_directory.h"
#include "laburnumkeel/peer/generated/peer_types.h"
#include "programs/laburnumkeel-control/control_settings.h"

namespace laburnumkeel::control {

// What this VM knows of its peers, of the configuration and of how new that
// is. Thread-safe.
class FleetState {
 public:
  explicit FleetState(const ControlSettings& settings);

  const std::string& Incarnation() const { return this->incarnation; }
  std::shared_ptr<const model::Configuration> Configuration() const {
    return this->holder.Current();
  }

  // What this VM tells its peers.
  peer::generated::PeerState OwnState();

  // Takes a peer's answer to an exchange sent at `sent`.
  void OnPeerAnswer(const peer::generated::PeerState& answer,
                    kernel::Instant sent);

  // Takes the state of a peer that called: it is worth calling, listed or not.
  void OnPeerExchange(const peer::generated::PeerState& caller);

  // Takes what a peer told on its own account: a hint, no proof.
  void OnPeerCall(std::int64_t version, const std::string& address);

  // Takes the store's newest version, read at `sent`.
  void OnStoreRead(model::Configuration configuration, kernel::Instant sent);

  // Takes a configuration from a peer. Returns whether it was newer.
  bool Adopt(model::Configuration configuration, const std::string& source);

  void SetListedVms(const std::vector<membership::VmRecord>& vms);
  void SetLeaving();

  // Peers worth calling.
  std::vector<membership::VmRecord> Peers() const;
  // This VM and the peers that answered recently.
  std::vector<membership::VmRecord> LiveVms() const;

  // Whether the newest version is known since the start; stays true.
  bool IsReady();

  configuration::FreshnessDecision Freshness() {
    return this->freshness.Decide();
  }
  bool HasMajorityContact() const {
    return this->freshness.HasMajorityContact();
  }
  bool IsHeldByMajority(
      std::uint64_t version,
      const std::vector<model::DataCentre>& data_centres) const {
    return this->freshness.IsHeldByMajority(version, data_centres);
  }
  std::optional<configuration::FetchPlan> NextFetch() {
    return this->sync.NextFetch(this->Configuration()->version);
  }
  bool IsPollDue();

  std::vector<peer::generated::VmStatus> FleetStatus();

 private:
  // The last state that a peer answered with, for the fleet status.
  struct PeerEntry {
    peer::generated::PeerState state;
    kernel::Instant sent;
  };

  // A VM that called, and when.
  struct Caller {
    membership::VmRecord record;
    kernel::Instant called;
  };

  const ControlSettings settings;
  const std::string incarnation;
  const kernel::BootClock clock{};
  configuration::ConfigurationHolder holder;
  configuration::Freshness<kernel::BootClock> freshness;
  configuration::ConfigurationSync<kernel::BootClock> sync;
  mutable std::mutex mutex;
  membership::VmDirectory<kernel::BootClock> directory;
  configuration::StartupRule startup;
  std::vector<std::string> listed_names;
  std::map<std::string, PeerEntry> peers;
  std::map<std::string, Caller> callers;
  bool ready = false;
  std::atomic<bool> leaving = false;
};

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_FLEET_STATE_H_
