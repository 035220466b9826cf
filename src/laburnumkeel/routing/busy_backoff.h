#ifndef LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_
#define LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// Delay before a statement is sent again to an endpoint whose queue was full.
// `refusals` is how often this statement has been refused, at least 1; `random`
// lies in [0, 1).
//
// Load pattern: many VMs that do not coordinate send more statements than the
// primary has slots for. With a fixed delay all of them would retry at the same
// time and soon use up their attempts. The delay therefore doubles up to the
// time in which a queue drains, with jitter between half and all of it.
kernel::Duration BusyBackoff(int refusals, double random);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_
