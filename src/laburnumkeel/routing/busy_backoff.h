#ifndef LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_
#define LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// How much a refused statement yields to others.
struct BusyUrgency {
  // Number of more urgent priorities of the service.
  int rank = 0;
  // The statement's transaction holds a connection meanwhile.
  bool continues_transaction = false;

  bool operator==(const BusyUrgency&) const = default;
};

// Delay before a statement is sent again to an endpoint whose queue was full.
// `refusals` is how often this statement has been refused, at least 1; `random`
// lies in [0, 1).
//
// Load pattern: many VMs that do not coordinate send more statements than the
// primary has slots for. With a fixed delay all of them would retry at the same
// time and soon use up their attempts. The delay therefore doubles up to the
// time in which a queue drains, with jitter between half and all of it. Less
// urgent statements wait for longer, so that the places in the queue that
// become free go to the urgent ones and to open transactions.
kernel::Duration BusyBackoff(int refusals, BusyUrgency urgency, double random);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_
