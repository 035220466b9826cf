#ifndef LABURNUMKEEL_CONFIGURATION_FRESHNESS_H_
#define LABURNUMKEEL_CONFIGURATION_FRESHNESS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/configuration/events.h"
#include "laburnumkeel/configuration/freshness_decision.h"
#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::configuration {

// Decides whether the configuration held is recent enough to check keys with.
// All ages are measured from the time a request was sent, so a slow response or
// a pause of this process makes evidence older, never newer. Incoming requests
// from peers prove nothing, because their transit time is unknown.
//
// In a store outage, each data centre accounts for the changes that its VMs
// confirmed. A VM that has just started or was paused cannot contribute, since
// it may have missed changes: it is not synchronised until it has a recent
// proof, or responses from synchronised VMs of its own data centre or of a
// majority of data centres. Thread-safe.
template <kernel::Clock Clock>
class Freshness {
 public:
  // A longer time between two calls to this object counts as a pause of the
  // process. It must be below `kFreshnessLimit`, after which other VMs no
  // longer wait for this one to confirm a change.
  static constexpr kernel::Duration kPauseThreshold = std::chrono::seconds(2);

  Freshness(Clock clock, std::string own_data_centre)
      : clock(std::move(clock)),
        own_data_centre(std::move(own_data_centre)),
        last_call_at(this->clock.Now()),
        unsynchronised_since(this->last_call_at) {}

  // Call this with the configuration now held. Majorities are counted over its
  // data centres.
  void OnConfigurationHeld(const model::Configuration& configuration) {
    const std::lock_guard lock(this->mutex);
    if (configuration.version < this->held_version) {
      return;
    }
    this->held_version = configuration.version;
    this->data_centres.clear();
    for (const model::DataCentre& data_centre : configuration.data_centres) {
      this->data_centres.push_back(data_centre.name);
    }
    this->RecordVersion(configuration.version);
    this->AdoptPendingProof();
  }

  // Call this when the store returned `version` for a read sent at `sent`.
  void OnStoreResponse(kernel::Instant sent, std::uint64_t version) {
    const std::lock_guard lock(this->mutex);
    this->DetectPause();
    KeepLatest(this->last_store_response, sent);
    KeepLatest(this->contacts[this->own_data_centre].store_reached_at, sent);
    this->RecordVersion(version);
    this->RecordProof(version, sent);
  }

  // Call this when a peer responded to an exchange sent at `sent`.
  void OnPeerResponse(kernel::Instant sent, const PeerEvidence& evidence) {
    const std::lock_guard lock(this->mutex);
    this->DetectPause();
    if (evidence.version == 0) {
      return;
    }
    this->RecordVersion(evidence.version);
    this->RecordPeer(sent, evidence);
    if (evidence.proof_age.has_value()) {
      const kernel::Instant proved = sent - *evidence.proof_age;
      this->RecordProof(evidence.version, proved);
      KeepLatest(this->contacts[evidence.data_centre].store_reached_at, proved);
    }
    for (const DataCentreContact& reported : evidence.contacts) {
      if (reported.reaches_store) {
        KeepLatest(this->contacts[reported.data_centre].store_reached_at,
                   sent - reported.age);
      }
    }
  }

  // Call this when a peer signalled that it holds this version.
  void OnVersionAnnounced(std::uint64_t version) {
    const std::lock_guard lock(this->mutex);
    this->RecordVersion(version);
  }

  FreshnessDecision Decide() {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->DetectPause();
    FreshnessDecision decision;
    decision.reason = this->Reason(now);
    decision.fresh = decision.reason == FreshnessReason::kProven ||
                     decision.reason == FreshnessReason::kStoreOutage;
    if (this->proof.has_value()) {
      decision.proof_age = now - *this->proof;
      KeepLatest(this->last_fresh,
                 std::min(now, *this->proof + kFreshnessLimit));
    }
    if (decision.fresh) {
      KeepLatest(this->last_fresh, now);
    }
    if (this->last_fresh.has_value()) {
      decision.isolated = now - *this->last_fresh;
    }
    this->LogChange(decision);
    return decision;
  }

  // The evidence that this VM sends to its peers. Version and proof must match:
  // combined with the proof for a newer version, an old version would appear to
  // be the newest. Call it at least once a second so that pauses are detected.
  PeerEvidence Announce(std::string vm) {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->DetectPause();
    PeerEvidence evidence;
    evidence.vm = std::move(vm);
    evidence.data_centre = this->own_data_centre;
    evidence.contacts = this->CurrentContacts(now);
    if (this->synchronised) {
      evidence.version = this->held_version;
      if (this->proof.has_value()) {
        evidence.proof_age = now - *this->proof;
      }
    }
    return evidence;
  }

  // Age of the proof that the version held is the newest.
  std::optional<kernel::Duration> ProofAge() const {
    const std::lock_guard lock(this->mutex);
    if (!this->proof.has_value()) {
      return std::nullopt;
    }
    return this->clock.Now() - *this->proof;
  }

  // Whether the store responded to this VM within `kFreshnessLimit`.
  bool ReachesStore() const {
    const std::lock_guard lock(this->mutex);
    return IsRecent(this->last_store_response, this->clock.Now());
  }

  // Whether a majority of the data centres, including this VM's own, is in
  // contact. Only then may an administration program accept a change.
  bool HasMajorityContact() const {
    const std::lock_guard lock(this->mutex);
    return this->IsMajorityInContact(this->clock.Now());
  }

  // Whether in a majority of the given data centres all VMs in contact hold
  // this version or a higher one. Report a change as accepted only when this is
  // true both for the data centres before the change and for those after it.
  // Otherwise, after a network partition between commit and distribution, a
  // majority that has not received the change could mistake the partition for a
  // store outage and serve with the old version.
  bool IsHeldByMajority(
      std::uint64_t version,
      const std::vector<model::DataCentre>& data_centres) const {
    const std::lock_guard lock(this->mutex);
    const auto holders =
        std::count_if(data_centres.begin(), data_centres.end(),
                      [&](const model::DataCentre& data_centre) {
                        return this->IsHeldBy(data_centre.name, version);
                      });
    return IsMajority(holders, data_centres.size());
  }

  // The data centres in contact and those that recently reached the store.
  std::vector<DataCentreContact> Contacts() const {
    const std::lock_guard lock(this->mutex);
    return this->CurrentContacts(this->clock.Now());
  }

 private:
  using OptionalInstant = std::optional<kernel::Instant>;

  struct PeerVm {
    kernel::Instant last_contact;
    std::uint64_t version = 0;
  };

  struct Contact {
    // When the newest exchange that a synchronised VM responded to was sent.
    OptionalInstant last_contact;
    // Time of the newest proof from this data centre.
    OptionalInstant store_reached_at;
    // Synchronised VMs by name.
    std::map<std::string, PeerVm> vms;
  };

  struct PendingProof {
    std::uint64_t version = 0;
    kernel::Instant instant;
  };

  static void KeepLatest(OptionalInstant& known, kernel::Instant candidate) {
    if (!known.has_value() || *known < candidate) {
      known = candidate;
    }
  }

  static bool IsRecent(const OptionalInstant& instant, kernel::Instant now) {
    return instant.has_value() && now - *instant <= kFreshnessLimit;
  }

  static bool IsMajority(std::ptrdiff_t count, std::size_t total) {
    return static_cast<std::size_t>(count) * 2 > total;
  }

  std::vector<DataCentreContact> CurrentContacts(kernel::Instant now) const {
    std::vector<DataCentreContact> result;
    for (const auto& [data_centre, contact] : this->contacts) {
      if (IsRecent(contact.last_contact, now)) {
        result.push_back(
            DataCentreContact{data_centre, now - *contact.last_contact, false});
      }
      if (IsRecent(contact.store_reached_at, now)) {
        result.push_back(DataCentreContact{
            data_centre, now - *contact.store_reached_at, true});
      }
    }
    return result;
  }

  // Ends synchronisation after a pause, and restores it with a recent proof.
  // Returns the current time.
  kernel::Instant DetectPause() {
    const kernel::Instant now = this->clock.Now();
    if (now - this->last_call_at > kPauseThreshold) {
      this->synchronised = false;
      this->unsynchronised_since = now;
      this->confirming_data_centres.clear();
    }
    this->last_call_at = now;
    if (IsRecent(this->proof, now)) {
      this->synchronised = true;
    }
    return now;
  }

  // Records the response of a synchronised VM.
  void RecordPeer(kernel::Instant sent, const PeerEvidence& evidence) {
    const kernel::Instant now = this->clock.Now();
    Contact& contact = this->contacts[evidence.data_centre];
    KeepLatest(contact.last_contact, sent);
    std::erase_if(contact.vms, [&](const auto& entry) {
      return !IsRecent(entry.second.last_contact, now);
    });
    PeerVm& peer = contact.vms[evidence.vm];
    peer.last_contact = std::max(peer.last_contact, sent);
    peer.version = std::max(peer.version, evidence.version);
    if (this->synchronised || evidence.version > this->held_version ||
        sent < this->unsynchronised_since) {
      return;
    }
    this->confirming_data_centres.insert(evidence.data_centre);
    const auto confirming = std::count_if(
        this->data_centres.begin(), this->data_centres.end(),
        [this](const std::string& data_centre) {
          return this->confirming_data_centres.contains(data_centre);
        });
    this->synchronised = evidence.data_centre == this->own_data_centre ||
                         IsMajority(confirming, this->data_centres.size());
  }

  bool IsHeldBy(const std::string& data_centre, std::uint64_t version) const {
    const kernel::Instant now = this->clock.Now();
    const bool is_own = data_centre == this->own_data_centre;
    if (is_own && this->held_version < version) {
      return false;
    }
    const auto contact = this->contacts.find(data_centre);
    if (contact == this->contacts.end()) {
      return is_own;
    }
    const auto& vms = contact->second.vms;
    const bool all_hold =
        std::all_of(vms.begin(), vms.end(), [&](const auto& entry) {
          return entry.second.version >= version ||
                 !IsRecent(entry.second.last_contact, now);
        });
    return all_hold && (is_own || IsRecent(contact->second.last_contact, now));
  }

  void RecordVersion(std::uint64_t version) {
    this->known_version = std::max(this->known_version, version);
  }

  // Records that `version` was the newest one at `instant`. If the version held
  // is lower, the proof stays pending until `version` is held.
  void RecordProof(std::uint64_t version, kernel::Instant instant) {
    if (version <= this->held_version) {
      KeepLatest(this->proof, instant);
      return;
    }
    if (!this->pending_proof.has_value() ||
        this->pending_proof->version < version ||
        (this->pending_proof->version == version &&
         this->pending_proof->instant < instant)) {
      this->pending_proof = PendingProof{version, instant};
    }
  }

  void AdoptPendingProof() {
    if (this->pending_proof.has_value() &&
        this->pending_proof->version <= this->held_version) {
      KeepLatest(this->proof, this->pending_proof->instant);
      this->pending_proof.reset();
    }
  }

  bool IsMajorityInContact(kernel::Instant now) const {
    const auto in_contact =
        std::count_if(this->data_centres.begin(), this->data_centres.end(),
                      [&](const std::string& data_centre) {
                        if (data_centre == this->own_data_centre) {
                          return true;
                        }
                        const auto contact = this->contacts.find(data_centre);
                        return contact != this->contacts.end() &&
                               IsRecent(contact->second.last_contact, now);
                      });
    return IsMajority(in_contact, this->data_centres.size());
  }

  FreshnessReason Reason(kernel::Instant now) const {
    if (IsRecent(this->proof, now)) {
      return FreshnessReason::kProven;
    }
    if (this->known_version > this->held_version) {
      return FreshnessReason::kNewerVersionKnown;
    }
    if (!this->IsMajorityInContact(now)) {
      return FreshnessReason::kCutOff;
    }
    if (!this->synchronised) {
      return FreshnessReason::kNotSynchronised;
    }
    const bool reached = std::any_of(
        this->contacts.begin(), this->contacts.end(), [&](const auto& contact) {
          return IsRecent(contact.second.store_reached_at, now);
        });
    return reached ? FreshnessReason::kProofTooOld
                   : FreshnessReason::kStoreOutage;
  }

  void LogChange(const FreshnessDecision& decision) {
    if (this->logged_reason == decision.reason) {
      return;
    }
    this->logged_reason = decision.reason;
    kernel::LogEvent(
        kFreshnessChanged,
        {{"reason", std::string(ToString(decision.reason))},
         {"fresh", decision.fresh},
         {"held_version", this->held_version},
         {"known_version", this->known_version},
         {"proof_age_ms",
          decision.proof_age.has_value()
              ? std::chrono::duration_cast<std::chrono::milliseconds>(
                    *decision.proof_age)
                    .count()
              : -1}});
  }

  const Clock clock;
  const std::string own_data_centre;
  mutable std::mutex mutex;
  std::uint64_t held_version = 0;
  std::uint64_t known_version = 0;
  std::vector<std::string> data_centres;
  // When the newest read that the store responded to was sent.
  OptionalInstant last_store_response;
  OptionalInstant proof;
  std::optional<PendingProof> pending_proof;
  std::map<std::string, Contact> contacts;
  OptionalInstant last_fresh;
  kernel::Instant last_call_at;
  bool synchronised = false;
  kernel::Instant unsynchronised_since;
  // Data centres whose VMs responded since then and held no higher version.
  std::set<std::string> confirming_data_centres;
  std::optional<FreshnessReason> logged_reason;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_FRESHNESS_H_
