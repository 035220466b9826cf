#ifndef LABURNUMKEEL_ROUTING_DEPARTURE_TABLE_H_
#define LABURNUMKEEL_ROUTING_DEPARTURE_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// How long statements may still be sent to something that is leaving.
struct DepartureBounds {
  // Time from the store's acknowledgement of the departure.
  kernel::Duration bound{0};
  // Time that a VM without a current view of the store, because it has just
  // started or could not reach the store, has for the departures that it missed
  // meanwhile.
  kernel::Duration settle_time{0};

  auto operator<=>(const DepartureBounds&) const = default;
};

// What is leaving (endpoints or data centres, by name), as read from the store.
// Bounds count from the store's acknowledgement, which this VM does not see. A
// departure was acknowledged after the last instant at which this VM's view was
// complete without it, so the bound is counted from that instant.
class DepartureTable {
 public:
  // Every departure acknowledged up to `as_of` is in this table.
  void ConfirmComplete(kernel::Instant as_of);

  // The store could not be read by a call sent at `sent`, or this VM started
  // then.
  void OnStoreFailure(kernel::Instant sent);

  // Returns false when the departure is known already.
  bool Begin(const std::string& name);

  // Returns false when no departure is known.
  bool End(const std::string& name);

  bool Contains(const std::string& name) const {
    return this->departures.contains(name);
  }

  // Everything that is leaving.
  std::vector<std::string> Names() const;

  // When the last statement has to arrive; empty unless `name` is leaving.
  std::optional<kernel::Instant> Deadline(const std::string& name,
                                          const DepartureBounds& bounds) const;

  // Up to when the table is known to be complete.
  kernel::Instant CompleteAsOf() const { return this->complete_as_of; }

 private:
  struct Departure {
    // The view was complete without the departure at this instant.
    kernel::Instant not_before;
    // The last failure to read the store before the departure was read.
    kernel::Instant store_failed;
  };

  kernel::Instant complete_as_of;
  kernel::Instant store_failed;
  std::map<std::string, Departure> departures;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_DEPARTURE_TABLE_H_
