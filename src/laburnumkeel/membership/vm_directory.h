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

// Tracks which VMs and data centres are alive, from the platform's list and the
// responses of peers. The list may be outdated, so only responses prove that a
// VM is alive. Not thread-safe.
template <kernel::Clock ClockType>
class VmDirectory {
 public:
  // A peer or data centre counts as live for this long after its last contact.
  static constexpr kernel::Duration kLivenessTimeout = std::chrono::seconds(4);
  // An unlisted VM is no longer called after this time without a response.
  static constexpr kernel::Duration kPeerRetention = std::chrono::minutes(5);

  VmDirectory(ClockType clock, VmRecord own)
      : clock(std::move(clock)), own(std::move(own)) {}

  // Replaces the platform's list of VMs.
  void SetListed(const std::vector<VmRecord>& vms) { this->listed = vms; }

  // Marks the own VM as departing.
  void SetDeparting(bool departing) { this->own.departing = departing; }

  // Processes a peer's response to a request sent at `sent`. Ages count from
  // then: the peer was alive at some instant after it.
  void OnResponse(const PeerResponse& response, kernel::Instant sent) {
    if (response.vm == this->own.name) {
      return;
    }
    Peer& peer = this->peers[response.vm];
    if (!peer.responded_at || *peer.responded_at <= sent) {
      peer.responded_at = sent;
      peer.record = this->WithListedDetails(response);
    }
    this->RecordContact(response.data_centre, sent, response.reaches_store);
    for (const Contact& contact : response.contacts) {
      this->RecordContact(contact.data_centre, sent - contact.age,
                          contact.reaches_store);
    }
    this->RemoveExpiredPeers();
  }

  // The own VM and all peers that responded within `kLivenessTimeout`, by name.
  std::vector<VmRecord> Live() const {
    const kernel::Instant now = this->clock.Now();
    std::vector<VmRecord> live{this->own};
    for (const auto& [name, peer] : this->peers) {
      if (now - *peer.responded_at <= kLivenessTimeout) {
        live.push_back(peer.record);
      }
    }
    std::sort(live.begin(), live.end());
    return live;
  }

  // Peers to call: listed ones and those that responded before, by name.
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

  // Returns true when more than half of the listed VMs, the own one included,
  // are live. A VM that starts without the store needs responses of a majority.
  bool HasMajorityOfListed() const {
    const std::vector<VmRecord> live = this->Live();
    const auto live_count = std::count_if(
        this->listed.begin(), this->listed.end(), [&](const VmRecord& vm) {
          return std::any_of(
              live.begin(), live.end(),
              [&](const VmRecord& other) { return other.name == vm.name; });
        });
    return !this->listed.empty() &&
           2 * static_cast<std::size_t>(live_count) > this->listed.size();
  }

  // Records that the own VM reached the store in a call sent at `sent`.
  void OnStoreReached(kernel::Instant sent) {
    this->RecordContact(this->own.data_centre, sent, true);
  }

  // Contacts to report to peers, by data centre; the own one has age 0.
  std::vector<Contact> Contacts() const {
    const kernel::Instant now = this->clock.Now();
    std::vector<Contact> contacts{
        Contact{this->own.data_centre, kernel::Duration(0), false}};
    for (const auto& [name, last_contact] : this->last_contacts) {
      const bool store_is_newest =
          last_contact.store_reached_at == last_contact.contacted_at;
      if (name != this->own.data_centre && !store_is_newest) {
        contacts.push_back(
            Contact{name, now - last_contact.contacted_at, false});
      }
      if (last_contact.store_reached_at) {
        contacts.push_back(
            Contact{name, now - *last_contact.store_reached_at, true});
      }
    }
    return contacts;
  }

  // Returns true when a VM of any data centre, the own VM included, reached the
  // store within `kLivenessTimeout`.
  bool IsStoreReached() const {
    const kernel::Instant now = this->clock.Now();
    return std::any_of(this->last_contacts.begin(), this->last_contacts.end(),
                       [&](const auto& entry) {
                         return entry.second.store_reached_at &&
                                now - *entry.second.store_reached_at <=
                                    kLivenessTimeout;
                       });
  }

  // Returns true when a majority of the given data centres, the own one
  // included, was in contact within `kLivenessTimeout`.
  bool HasMajorityOfDataCentres(
      const std::vector<std::string>& data_centres) const {
    const kernel::Instant now = this->clock.Now();
    const auto live = std::count_if(
        data_centres.begin(), data_centres.end(), [&](const std::string& name) {
          const auto last_contact = this->last_contacts.find(name);
          return name == this->own.data_centre ||
                 (last_contact != this->last_contacts.end() &&
                  now - last_contact->second.contacted_at <= kLivenessTimeout);
        });
    return 2 * static_cast<std::size_t>(live) > data_centres.size();
  }

 private:
  struct Peer {
    VmRecord record;
    std::optional<kernel::Instant> responded_at;
  };

  struct LastContact {
    kernel::Instant contacted_at;
    std::optional<kernel::Instant> store_reached_at;
  };

  // Returns the peer's record of itself, completed from the platform's list.
  VmRecord WithListedDetails(const PeerResponse& response) const {
    VmRecord record{response.vm, response.data_centre, response.control_address,
                    "", response.departing};
    for (const VmRecord& vm : this->listed) {
      if (vm.name != response.vm) {
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

  void RecordContact(const std::string& data_centre, kernel::Instant instant,
                     bool reaches_store) {
    LastContact& last_contact =
        this->last_contacts
            .try_emplace(data_centre, LastContact{instant, std::nullopt})
            .first->second;
    last_contact.contacted_at = std::max(last_contact.contacted_at, instant);
    if (reaches_store) {
      last_contact.store_reached_at =
          std::max(last_contact.store_reached_at.value_or(instant), instant);
    }
  }

  void RemoveExpiredPeers() {
    const kernel::Instant now = this->clock.Now();
    std::erase_if(this->peers, [&](const auto& entry) {
      return now - *entry.second.responded_at > kPeerRetention;
    });
  }

  ClockType clock;
  VmRecord own;
  std::vector<VmRecord> listed;
  std::map<std::string, Peer> peers;
  std::map<std::string, LastContact> last_contacts;
};

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_VM_DIRECTORY_H_
