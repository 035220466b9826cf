#ifndef LABURNUMKEEL_MEMBERSHIP_CONTACT_H_
#define LABURNUMKEEL_MEMBERSHIP_CONTACT_H_

#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::membership {

// The last contact with a data centre, as VMs report it to each other. It has
// an age in place of an instant, because clocks of VMs cannot be compared.
struct Contact {
  std::string data_centre;
  // Time since the contact.
  kernel::Duration age{};
  // True when a VM of the data centre reached the store at that time. A data
  // centre is listed twice when its last contact is newer than its last access
  // to the store: with a single age, VMs would refresh each other's record of
  // the store access for ever.
  bool reaches_store = false;

  bool operator==(const Contact&) const = default;
};

// A VM's response: its own state and its last contacts with data centres.
struct PeerResponse {
  std::string vm;
  std::string data_centre;
  std::string control_address;
  bool departing = false;
  bool reaches_store = false;
  std::vector<Contact> contacts;

  bool operator==(const PeerResponse&) const = default;
};

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_CONTACT_H_
