#ifndef LABURNUMKEEL_KERNEL_BACKOFF_H_
#define LABURNUMKEEL_KERNEL_BACKOFF_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::kernel {

// The delay before the next attempt: `initial` after the first failed attempt,
// doubled after each further one up to `maximum`. `random`, uniform in [0, 1),
// adds jitter: the delay lies between half of this value and all of it, so that
// VMs do not retry simultaneously.
Duration Backoff(Duration initial, Duration maximum, int attempts,
                 double random);

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_BACKOFF_H_
