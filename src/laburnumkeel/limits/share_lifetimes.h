#ifndef LABURNUMKEEL_LIMITS_SHARE_LIFETIMES_H_
#define LABURNUMKEEL_LIMITS_SHARE_LIFETIMES_H_

#include <chrono>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::limits {

// Times after which a VM stops using shares, counted from when it sent their
// last renewal.
struct ShareLifetimes {
  kernel::Duration dynamic = std::chrono::seconds(8);
  kernel::Duration reserve = std::chrono::hours(12);
};

// Time for which another VM must observe that a share is not renewed before it
// may reassign it. 5% allows for clock drift; 1 s allows for rounding and for
// scheduling delays between the expiry check and the execution of a request.
constexpr kernel::Duration RemovalAge(kernel::Duration lifetime) {
  return lifetime + lifetime / 20 + std::chrono::seconds(1);
}

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_LIFETIMES_H_
