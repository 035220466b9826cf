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

// What this VM knows about its peers, the configuration and its freshness.
// Thread-safe.
class FleetState {
 public:
  explicit FleetState(const ControlSettings& settings);

  const std::string& Incarnation() const { return this->incarnation; }
  std::shared_ptr<const model::Configuration> Configuration() const {
    return this->holder.Current();
  }

  // The state that this VM sends to its peers.
  peer::generated::PeerState OwnState();

  // Records a peer's response to an exchange sent at `sent`.
  void OnPeerResponse(const peer::generated::PeerState& response,
                      kernel::Instant sent);

  // Records the state of a peer that called. Such a peer is called in turn,
  // whether it is listed or not.
  void OnPeerExchange(const peer::generated::PeerState& caller);

  // Records a version that a peer sent unrequested: a hint, not a proof.
  void OnVersionHint(std::int64_t version, const std::string& address);

  // Records the store's newest version, read at `sent`.
  void OnStoreRead(model::Configuration configuration, kernel::Instant sent);

  // Adopts a configuration if it is newer than the current one. Returns whether
  // it was.
  bool Adopt(model::Configuration configuration, const std::string& source);

  void SetListedVms(const std::vector<membership::VmRecord>& vms);
  void SetLeaving();

  // The peers to call: those of the directory and recent callers.
  std::vector<membership::VmRecord> Peers() const;
  // This VM and the peers that responded recently.
  std::vector<membership::VmRecord> LiveVms() const;

  // Whether the newest version has become known since the start. Once true, it
  // stays true.
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
  // The last state that a peer responded with, for the fleet status.
  struct PeerEntry {
    peer::generated::PeerState state;
    kernel::Instant sent;
  };

  // A VM that called, with the time of its last call.
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
