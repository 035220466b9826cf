#ifndef LABURNUMKEEL_KERNEL_BACKOFF_H_
#define LABURNUMKEEL_KERNEL_BACKOFF_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::kernel {

// Pause before the next of several attempts: `initial` after the first one,
// doubled with each further one up to `maximum`. `random` is uniform in [0, 1)
// and spreads the pause between half and the whole of its value, so that VMs
// do not retry in step.
Duration Backoff(Duration initial, Duration maximum, int attempts,
                 double random);

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_BACKOFF_H_
