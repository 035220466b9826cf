#ifndef LABURNUMKEEL_MEMBERSHIP_CONTACT_H_
#define LABURNUMKEEL_MEMBERSHIP_CONTACT_H_

#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::membership {

// A sign of life of a data centre, as VMs pass it on to each other. Ages in
// place of instants, because clocks of VMs cannot be compared.
struct Contact {
  std::string data_centre;
  // Age of the sign of life.
  kernel::Duration age{};
  // True when a VM of the data centre reached the store at that time. A data
  // centre appears twice when its newest sign of life is newer than its newest
  // contact with the store: with a single age, VMs would refresh each other's
  // knowledge of the store for ever.
  bool reaches_store = false;

  bool operator==(const Contact&) const = default;
};

// What a VM says about itself and others.
struct PeerAnswer {
  std::string vm;
  std::string data_centre;
  std::string control_address;
  bool departing = false;
  bool reaches_store = false;
  std::vector<Contact> contacts;

  bool operator==(const PeerAnswer&) const = default;
};

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_CONTACT_H_
