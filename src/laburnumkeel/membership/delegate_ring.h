#ifndef LABURNUMKEEL_MEMBERSHIP_DELEGATE_RING_H_
#define LABURNUMKEEL_MEMBERSHIP_DELEGATE_RING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumkeel::membership {

// A VM that may act for keys.
struct DelegateVm {
  // `IP:port` at which it receives messages from other VMs.
  std::string address;
  std::string data_centre;

  bool operator==(const DelegateVm&) const = default;
};

// The VMs among which keys are distributed by rendezvous hashing, as published
// by the leader. Each key has `kPlaces` places, and only a member at one of
// them may act for the key.
//
// VMs learn of a new ring at different times. At most `kPlaces` VMs act for a
// key nevertheless, if a VM in `joining` becomes a member, or one in `retired`
// is removed, only when no VM may still follow a ring without it there: a
// joining VM and a retired one take a place and do not act.
struct DelegateRing {
  static constexpr std::size_t kPlaces = 3;

  // Increases with each ring that a leader publishes; 0 before the first one.
  std::uint64_t revision = 0;
  // False while VMs may follow a ring that the publisher does not know. No VM
  // acts for any key then.
  bool is_settled = true;
  std::map<std::string, DelegateVm> members;
  std::map<std::string, DelegateVm> joining;
  std::set<std::string> retired;

  bool operator==(const DelegateRing&) const = default;

  // A ring in place of one that is not known.
  static DelegateRing Unsettled() {
    DelegateRing ring;
    ring.is_settled = false;
    return ring;
  }

  bool IsEmpty() const {
    return this->members.empty() && this->joining.empty() &&
           this->retired.empty();
  }

  // The VMs at the key's places, by descending weight.
  std::vector<std::string> Places(std::string_view key) const;

  // The members among them, which act for the key.
  std::vector<std::string> Delegates(std::string_view key) const;

  bool IsDelegate(std::string_view key, const std::string& vm) const;
};

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_DELEGATE_RING_H_
