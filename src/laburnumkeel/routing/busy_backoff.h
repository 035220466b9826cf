#ifndef LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_
#define LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// Pause before a statement is sent again to an endpoint whose queue was full.
// `refusals` counts those of this statement, from 1; `random` lies in [0, 1).
//
// Load pattern: more statements than the primary's slots can run, from many VMs
// that do not know of each other. A fixed pause brings all of them back
// together, and soon uses up a statement's attempts. The pause doubles up to
// the time in which a queue drains, and is drawn between half and all of that.
kernel::Duration BusyBackoff(int refusals, double random);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_BUSY_BACKOFF_H_
