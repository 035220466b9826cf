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

// Decides whether the configuration held is new enough to check keys with it.
// All ages are measured from the moment a request was sent, so a slow answer
// or a pause of this process makes evidence older, never younger. Requests
// that arrive from peers prove nothing, because the time they took is not
// known.
//
// In a store outage each data centre vouches for the changes that were
// confirmed by its VMs. A VM that started or was paused cannot do so: it is not
// synchronised until it has a proof, or answers of synchronised VMs of its own
// data centre or of a majority of data centres. Thread-safe.
template <kernel::Clock Clock>
class Freshness {
 public:
  // A longer time between two calls of this object counts as a pause. It is
  // below `kFreshnessLimit`, after which others no longer wait for this VM.
  static constexpr kernel::Duration kMaximumGap = std::chrono::seconds(2);

  Freshness(Clock clock, std::string own_data_centre)
      : clock(std::move(clock)),
        own_data_centre(std::move(own_data_centre)),
        last_call(this->clock.Now()),
        unsynchronised_since(this->last_call) {}

  // The configuration now held. Its data centres are those of the majority.
  void ConfigurationHeld(const model::Configuration& configuration) {
    const std::lock_guard lock(this->mutex);
    if (configuration.version < this->held_version) {
      return;
    }
    this->held_version = configuration.version;
    this->data_centres.clear();
    for (const model::DataCentre& data_centre : configuration.data_centres) {
      this->data_centres.push_back(data_centre.name);
    }
    this->NoteVersion(configuration.version);
    this->AdoptPendingProof();
  }

  // The store answered a read sent at `sent` with this version.
  void StoreAnswered(kernel::Instant sent, std::uint64_t version) {
    const std::lock_guard lock(this->mutex);
    this->NoteCall();
    Raise(this->store_reached, sent);
    Raise(this->contacts[this->own_data_centre].reached_store, sent);
    this->NoteVersion(version);
    this->NoteProof(version, sent);
  }

  // A peer answered an exchange sent at `sent`.
  void PeerAnswered(kernel::Instant sent, const PeerEvidence& evidence) {
    const std::lock_guard lock(this->mutex);
    this->NoteCall();
    if (evidence.version == 0) {
      return;
    }
    this->NoteVersion(evidence.version);
    this->NotePeer(sent, evidence);
    if (evidence.proof_age.has_value()) {
      const kernel::Instant proved = sent - *evidence.proof_age;
      this->NoteProof(evidence.version, proved);
      Raise(this->contacts[evidence.data_centre].reached_store, proved);
    }
    for (const DataCentreContact& reported : evidence.contacts) {
      if (reported.reaches_store) {
        Raise(this->contacts[reported.data_centre].reached_store,
              sent - reported.age);
      }
    }
  }

  // A peer signalled that it holds this version.
  void VersionAnnounced(std::uint64_t version) {
    const std::lock_guard lock(this->mutex);
    this->NoteVersion(version);
  }

  FreshnessDecision Decide() {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->NoteCall();
    FreshnessDecision decision;
    decision.reason = this->Reason(now);
    decision.fresh = decision.reason == FreshnessReason::kProven ||
                     decision.reason == FreshnessReason::kStoreOutage;
    if (this->proof.has_value()) {
      decision.proof_age = now - *this->proof;
      Raise(this->last_fresh, std::min(now, *this->proof + kFreshnessLimit));
    }
    if (decision.fresh) {
      Raise(this->last_fresh, now);
    }
    if (this->last_fresh.has_value()) {
      decision.isolated = now - *this->last_fresh;
    }
    this->LogChange(decision);
    return decision;
  }

  // What this VM tells its peers. Version and proof belong together: with a
  // newer version's proof an old version would look newest. Call it at least
  // once a second, so that this object notices pauses.
  PeerEvidence Announce(std::string vm) {
    const std::lock_guard lock(this->mutex);
    const kernel::Instant now = this->NoteCall();
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

  // Age of the proof for the version held.
  std::optional<kernel::Duration> ProofAge() const {
    const std::lock_guard lock(this->mutex);
    if (!this->proof.has_value()) {
      return std::nullopt;
    }
    return this->clock.Now() - *this->proof;
  }

  // Whether the store answered this VM recently.
  bool ReachesStore() const {
    const std::lock_guard lock(this->mutex);
    return IsRecent(this->store_reached, this->clock.Now());
  }

  // Whether a majority of the data centres, the own one included, is in
  // contact. Only then may an administration program accept a change.
  bool HasMajorityContact() const {
    const std::lock_guard lock(this->mutex);
    return this->MajorityInContact(this->clock.Now());
  }

  // Whether in a majority of the given data centres all VMs in contact hold
  // this version or a higher one. Report a change as accepted only when this
  // holds for the data centres before and after it. Otherwise, after a cut
  // between commit and distribution, a majority that never hears of the change
  // could take the cut for a store outage.
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

  // The data centres in contact.
  std::vector<DataCentreContact> Contacts() const {
    const std::lock_guard lock(this->mutex);
    return this->CurrentContacts(this->clock.Now());
  }

 private:
  using OptionalInstant = std::optional<kernel::Instant>;

  struct PeerVm {
    kernel::Instant alive;
    std::uint64_t version = 0;
  };

  struct Contact {
    // Sent time of the newest exchange that a synchronised VM answered.
    OptionalInstant alive;
    // Time of the newest proof that came from this data centre.
    OptionalInstant reached_store;
    // Synchronised VMs by name.
    std::map<std::string, PeerVm> vms;
  };

  struct PendingProof {
    std::uint64_t version = 0;
    kernel::Instant instant;
  };

  static void Raise(OptionalInstant& known, kernel::Instant candidate) {
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
      if (IsRecent(contact.alive, now)) {
        result.push_back(
            DataCentreContact{data_centre, now - *contact.alive, false});
      }
      if (IsRecent(contact.reached_store, now)) {
        result.push_back(
            DataCentreContact{data_centre, now - *contact.reached_store, true});
      }
    }
    return result;
  }

  // Notices a pause. Returns the current time.
  kernel::Instant NoteCall() {
    const kernel::Instant now = this->clock.Now();
    if (now - this->last_call > kMaximumGap) {
      this->synchronised = false;
      this->unsynchronised_since = now;
      this->vouching_data_centres.clear();
    }
    this->last_call = now;
    if (IsRecent(this->proof, now)) {
      this->synchronised = true;
    }
    return now;
  }

  // Takes the answer of a synchronised VM.
  void NotePeer(kernel::Instant sent, const PeerEvidence& evidence) {
    const kernel::Instant now = this->clock.Now();
    Contact& contact = this->contacts[evidence.data_centre];
    Raise(contact.alive, sent);
    std::erase_if(contact.vms, [&](const auto& entry) {
      return !IsRecent(entry.second.alive, now);
    });
    PeerVm& peer = contact.vms[evidence.vm];
    peer.alive = std::max(peer.alive, sent);
    peer.version = std::max(peer.version, evidence.version);
    if (this->synchronised || evidence.version > this->held_version ||
        sent < this->unsynchronised_since) {
      return;
    }
    this->vouching_data_centres.insert(evidence.data_centre);
    const auto vouching = std::count_if(
        this->data_centres.begin(), this->data_centres.end(),
        [this](const std::string& data_centre) {
          return this->vouching_data_centres.contains(data_centre);
        });
    this->synchronised = evidence.data_centre == this->own_data_centre ||
                         IsMajority(vouching, this->data_centres.size());
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
                 !IsRecent(entry.second.alive, now);
        });
    return all_hold && (is_own || IsRecent(contact->second.alive, now));
  }

  void NoteVersion(std::uint64_t version) {
    this->known_version = std::max(this->known_version, version);
  }

  // `version` was the newest one at `instant`. That proves the version held
  // if it is not lower; otherwise the proof waits until the version is held.
  void NoteProof(std::uint64_t version, kernel::Instant instant) {
    if (version <= this->held_version) {
      Raise(this->proof, instant);
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
      Raise(this->proof, this->pending_proof->instant);
      this->pending_proof.reset();
    }
  }

  bool MajorityInContact(kernel::Instant now) const {
    const auto in_contact =
        std::count_if(this->data_centres.begin(), this->data_centres.end(),
                      [&](const std::string& data_centre) {
                        if (data_centre == this->own_data_centre) {
                          return true;
                        }
                        const auto contact = this->contacts.find(data_centre);
                        return contact != this->contacts.end() &&
                               IsRecent(contact->second.alive, now);
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
    if (!this->MajorityInContact(now)) {
      return FreshnessReason::kCutOff;
    }
    if (!this->synchronised) {
      return FreshnessReason::kNotSynchronised;
    }
    const bool reached = std::any_of(
        this->contacts.begin(), this->contacts.end(), [&](const auto& contact) {
          return IsRecent(contact.second.reached_store, now);
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
  OptionalInstant store_reached;
  OptionalInstant proof;
  std::optional<PendingProof> pending_proof;
  std::map<std::string, Contact> contacts;
  OptionalInstant last_fresh;
  kernel::Instant last_call;
  bool synchronised = false;
  kernel::Instant unsynchronised_since;
  // Data centres that answered since then.
  std::set<std::string> vouching_data_centres;
  std::optional<FreshnessReason> logged_reason;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_FRESHNESS_H_
