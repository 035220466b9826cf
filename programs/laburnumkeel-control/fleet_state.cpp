#include "programs/laburnumkeel-control/fleet_state.h"

#include <algorithm>
#include <random>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "laburnumkeel/kernel/random_identifier.h"
#include "programs/laburnumkeel-control/events.h"

namespace laburnumkeel::control {

namespace {

// A VM that has not called for this long is called only if it is listed.
constexpr kernel::Duration kCallerLifetime = std::chrono::minutes(5);

}  // namespace

FleetState::FleetState(const ControlSettings& settings)
    : settings(settings),
      incarnation(kernel::RandomIdentifier()),
      freshness(this->clock, settings.data_centre),
      sync(this->clock, settings.vm, settings.data_centre,
           std::random_device{}()),
      directory(this->clock,
                membership::VmRecord{settings.vm, settings.data_centre,
                                     settings.peer_listen, "", false}) {}

peer::generated::PeerState FleetState::OwnState() {
  peer::generated::PeerState state;
  state.vm = this->settings.vm;
  state.incarnation = this->incarnation;
  state.data_centre = this->settings.data_centre;
  state.control_address = this->settings.peer_listen;
  state.leaving = this->leaving;
  const configuration::PeerEvidence evidence =
      this->freshness.Announce(this->settings.vm);
  // A starting VM may know only the version of a minority, which must not count
  // as the response of a VM that is up to date.
  const bool is_ready = this->IsReady();
  state.configuration_version =
      is_ready ? static_cast<std::int64_t>(evidence.version) : 0;
  state.proof_age_ms = is_ready && evidence.proof_age.has_value()
                           ? kernel::ToMilliseconds(*evidence.proof_age)
                           : -1;
  state.reaches_store = this->freshness.ReachesStore();
  for (const configuration::DataCentreContact& contact : evidence.contacts) {
    peer::generated::Contact item;
    item.data_centre = contact.data_centre;
    item.age_ms = kernel::ToMilliseconds(contact.age);
    item.reaches_store = contact.reaches_store;
    state.contacts.push_back(item);
  }
  return state;
}

void FleetState::OnPeerResponse(const peer::generated::PeerState& response,
                                kernel::Instant sent) {
  const auto version =
      static_cast<std::uint64_t>(response.configuration_version);
  configuration::PeerEvidence evidence;
  evidence.vm = response.vm;
  evidence.data_centre = response.data_centre;
  evidence.version = version;
  if (response.proof_age_ms >= 0) {
    evidence.proof_age = std::chrono::milliseconds(response.proof_age_ms);
  }
  for (const peer::generated::Contact& contact : response.contacts) {
    evidence.contacts.push_back(configuration::DataCentreContact{
        contact.data_centre, std::chrono::milliseconds(contact.age_ms),
        contact.reaches_store});
  }
  this->freshness.OnPeerResponse(sent, evidence);
  this->sync.OnVersionAnnounced(version, response.control_address,
                                this->Configuration()->version);
  const std::lock_guard lock(this->mutex);
  this->directory.OnResponse(membership::PeerResponse{response.vm,
                                                      response.data_centre,
                                                      response.control_address,
                                                      response.leaving,
                                                      response.reaches_store,
                                                      {}},
                             sent);
  this->startup.OnPeerResponse(response.vm, version);
  this->peers[response.vm] = PeerEntry{response, sent};
}

void FleetState::OnPeerExchange(const peer::generated::PeerState& caller) {
  this->OnVersionHint(caller.configuration_version, caller.control_address);
  const std::lock_guard lock(this->mutex);
  const kernel::Instant now = this->clock.Now();
  this->callers.insert_or_assign(
      caller.vm,
      Caller{membership::VmRecord{caller.vm, caller.data_centre,
                                  caller.control_address, "", caller.leaving},
             now});
  std::erase_if(this->callers, [now](const auto& entry) {
    return now - entry.second.called > kCallerLifetime;
  });
}

void FleetState::OnVersionHint(std::int64_t version,
                               const std::string& address) {
  this->freshness.OnVersionAnnounced(static_cast<std::uint64_t>(version));
  this->sync.OnVersionAnnounced(static_cast<std::uint64_t>(version), address,
                                this->Configuration()->version);
}

void FleetState::OnStoreRead(model::Configuration configuration,
                             kernel::Instant sent) {
  const std::uint64_t version = configuration.version;
  this->Adopt(std::move(configuration), "store");
  this->freshness.OnStoreResponse(sent, version);
  const std::lock_guard lock(this->mutex);
  this->startup.OnStoreResponse(version);
}

bool FleetState::Adopt(model::Configuration configuration,
                       const std::string& source) {
  const std::uint64_t version = configuration.version;
  if (!this->holder.Offer(std::move(configuration))) {
    return false;
  }
  this->freshness.OnConfigurationHeld(*this->holder.Current());
  kernel::LogEvent(kConfigurationAdopted,
                   {{"version", version}, {"source", source}});
  return true;
}

void FleetState::SetListedVms(const std::vector<membership::VmRecord>& vms) {
  const std::lock_guard lock(this->mutex);
  this->listed_names.clear();
  for (const membership::VmRecord& vm : vms) {
    this->listed_names.push_back(vm.name);
  }
  this->directory.SetListed(vms);
}

void FleetState::SetLeaving() {
  this->leaving = true;
  const std::lock_guard lock(this->mutex);
  this->directory.SetDeparting(true);
}

std::vector<membership::VmRecord> FleetState::Peers() const {
  const std::lock_guard lock(this->mutex);
  std::vector<membership::VmRecord> peers = this->directory.Callable();
  for (const auto& entry : this->callers) {
    const bool is_known = std::any_of(peers.begin(), peers.end(),
                                      [&](const membership::VmRecord& peer) {
                                        return peer.name == entry.first;
                                      });
    if (!is_known && entry.first != this->settings.vm) {
      peers.push_back(entry.second.record);
    }
  }
  return peers;
}

std::vector<membership::VmRecord> FleetState::LiveVms() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.Live();
}

bool FleetState::IsReady() {
  const std::lock_guard lock(this->mutex);
  if (!this->ready && this->startup.IsReady(this->listed_names,
                                            this->Configuration()->version)) {
    this->ready = true;
    kernel::LogEvent(kReady, {{"version", this->Configuration()->version}});
  }
  return this->ready;
}

bool FleetState::IsPollDue() {
  std::vector<std::string> others;
  for (const membership::VmRecord& vm : this->LiveVms()) {
    if (vm.data_centre == this->settings.data_centre &&
        vm.name != this->settings.vm && !vm.departing) {
      others.push_back(vm.name);
    }
  }
  return this->sync.IsPollDue(others);
}

std::vector<peer::generated::VmStatus> FleetState::FleetStatus() {
  std::vector<peer::generated::VmStatus> result;
  const auto add = [&](const peer::generated::PeerState& state,
                       std::int64_t age_ms) {
    peer::generated::VmStatus status;
    status.vm = state.vm;
    status.data_centre = state.data_centre;
    status.age_ms = age_ms;
    status.configuration_version = state.configuration_version;
    status.reaches_store = state.reaches_store;
    result.push_back(status);
  };
  add(this->OwnState(), 0);
  const std::lock_guard lock(this->mutex);
  for (const auto& [vm, entry] : this->peers) {
    add(entry.state, kernel::ToMilliseconds(this->clock.Now() - entry.sent));
  }
  return result;
}

}  // namespace laburnumkeel::control
