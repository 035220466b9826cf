#ifndef LABURNUMKEEL_MEMBERSHIP_VM_DIRECTORY_H_
#define LABURNUMKEEL_MEMBERSHIP_VM_DIRECTORY_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/membership/contact.h"
#include "laburnumkeel/membership/vm_record.h"

namespace laburnumkeel::membership {

// Which VMs and data centres are alive, from the platform's lagging list and
// from the answers of peers. Only answers count as signs of life. Not
// thread-safe.
template <kernel::Clock ClockType>
class VmDirectory {
 public:
  // A peer or data centre is live for this long after its last answer.
  static constexpr kernel::Duration kLiveFor = std::chrono::seconds(4);
  // An unlisted VM without an answer for this long is no longer called.
  static constexpr kernel::Duration kForgottenAfter = std::chrono::minutes(5);

  VmDirectory(ClockType clock, VmRecord own)
      : clock(std::move(clock)), own(std::move(own)) {}

  // Takes the platform's list.
  void SetListed(const std::vector<VmRecord>& vms) { this->listed = vms; }

  // Marks the own VM as departing.
  void SetDeparting(bool departing) { this->own.departing = departing; }

  // Takes a peer's answer to a request sent at `sent`. Ages count from then:
  // the peer was alive at some instant after it.
  void OnAnswer(const PeerAnswer& answer, kernel::Instant sent) {
    if (answer.vm == this->own.name) {
      return;
    }
    Peer& peer = this->peers[answer.vm];
    if (!peer.answered || *peer.answered <= sent) {
      peer.answered = sent;
      peer.record = this->Completed(answer);
    }
    this->Saw(answer.data_centre, sent, answer.reaches_store);
    for (const Contact& contact : answer.contacts) {
      this->Saw(contact.data_centre, sent - contact.age, contact.reaches_store);
    }
    this->Forget();
  }

  // The own VM and all peers that answered within `kLiveFor`, by name.
  std::vector<VmRecord> Live() const {
    const kernel::Instant now = this->clock.Now();
    std::vector<VmRecord> live{this->own};
    for (const auto& [name, peer] : this->peers) {
      if (now - *peer.answered <= kLiveFor) {
        live.push_back(peer.record);
      }
    }
    std::sort(live.begin(), live.end());
    return live;
  }

  // Peers worth calling: listed ones and those that answered before, by name.
  std::vector<VmRecord> Callable() const {
    std::map<std::string, VmRecord> records;
    for (const auto& [name, peer] : this->peers) {
      records.emplace(name, peer.record);
    }
    for (const VmRecord& vm : this->listed) {
      records.emplace(vm.name, vm);
    }
    records.erase(this->own.name);
    std::vector<VmRecord> callable;
    for (auto& [name, record] : records) {
      if (!record.control_address.empty()) {
        callable.push_back(std::move(record));
      }
    }
    return callable;
  }

  // Listed VMs, the own one included, and how many of them are live. A VM that
  // starts without the store needs answers of a majority of them.
  bool HasMajorityOfListed() const {
    const std::vector<VmRecord> live = this->Live();
    const auto answered = std::count_if(
        this->listed.begin(), this->listed.end(), [&](const VmRecord& vm) {
          return std::any_of(
              live.begin(), live.end(),
              [&](const VmRecord& other) { return other.name == vm.name; });
        });
    return !this->listed.empty() &&
           2 * static_cast<std::size_t>(answered) > this->listed.size();
  }

  // Records that the own VM reached the store in a call sent at `sent`.
  void OnStoreReached(kernel::Instant sent) {
    this->Saw(this->own.data_centre, sent, true);
  }

  // Contacts to pass on, by data centre; the own one has age 0.
  std::vector<Contact> Contacts() const {
    const kernel::Instant now = this->clock.Now();
    std::vector<Contact> contacts{
        Contact{this->own.data_centre, kernel::Duration(0), false}};
    for (const auto& [name, sighting] : this->sightings) {
      const bool store_is_newest = sighting.reached_store == sighting.alive;
      if (name != this->own.data_centre && !store_is_newest) {
        contacts.push_back(Contact{name, now - sighting.alive, false});
      }
      if (sighting.reached_store) {
        contacts.push_back(Contact{name, now - *sighting.reached_store, true});
      }
    }
    return contacts;
  }

  // True when a VM of any data centre, the own VM included, reached the store
  // within `kLiveFor`.
  bool IsStoreReached() const {
    const kernel::Instant now = this->clock.Now();
    return std::any_of(this->sightings.begin(), this->sightings.end(),
                       [&](const auto& entry) {
                         return entry.second.reached_store &&
                                now - *entry.second.reached_store <= kLiveFor;
                       });
  }

  // True when VMs of a majority of the given data centres, the own one
  // included, gave a sign of life within `kLiveFor`.
  bool HasMajorityOfDataCentres(
      const std::vector<std::string>& data_centres) const {
    const kernel::Instant now = this->clock.Now();
    const auto live = std::count_if(
        data_centres.begin(), data_centres.end(), [&](const std::string& name) {
          const auto sighting = this->sightings.find(name);
          return name == this->own.data_centre ||
                 (sighting != this->sightings.end() &&
                  now - sighting->second.alive <= kLiveFor);
        });
    return 2 * static_cast<std::size_t>(live) > data_centres.size();
  }

 private:
  struct Peer {
    VmRecord record;
    std::optional<kernel::Instant> answered;
  };

  struct Sighting {
    kernel::Instant alive;
    std::optional<kernel::Instant> reached_store;
  };

  // Adds the addresses of the list to what the peer says of itself.
  VmRecord Completed(const PeerAnswer& answer) const {
    VmRecord record{answer.vm, answer.data_centre, answer.control_address, "",
                    answer.departing};
    for (const VmRecord& vm : this->listed) {
      if (vm.name != answer.vm) {
        continue;
      }
      record.entry_address = vm.entry_address;
      if (record.control_address.empty()) {
        record.control_address = vm.control_address;
      }
      record.departing = record.departing || vm.departing;
    }
    return record;
  }

  void Saw(const std::string& data_centre, kernel::Instant instant,
           bool reached_store) {
    Sighting& sighting =
        this->sightings
            .try_emplace(data_centre, Sighting{instant, std::nullopt})
            .first->second;
    sighting.alive = std::max(sighting.alive, instant);
    if (reached_store) {
      sighting.reached_store =
          std::max(sighting.reached_store.value_or(instant), instant);
    }
  }

  void Forget() {
    const kernel::Instant now = this->clock.Now();
    std::erase_if(this->peers, [&](const auto& entry) {
      return now - *entry.second.answered > kForgottenAfter;
    });
  }

  ClockType clock;
  VmRecord own;
  std::vector<VmRecord> listed;
  std::map<std::string, Peer> peers;
  std::map<std::string, Sighting> sightings;
};

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_VM_DIRECTORY_H_
