#ifndef LABURNUMKEEL_LIMITS_SHARE_LIFETIMES_H_
#define LABURNUMKEEL_LIMITS_SHARE_LIFETIMES_H_

#include <chrono>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::limits {

// Times after the sending of a renewal at which its holder stops using shares.
struct ShareLifetimes {
  kernel::Duration dynamic = std::chrono::seconds(8);
  kernel::Duration reserve = std::chrono::hours(12);
};

// Time for which another VM must see a share unrenewed before it may assign
// it again: 5% allows for clocks of different speed, 1 s for rounding and
// scheduling between the holder's check and the execution of a request.
constexpr kernel::Duration RemovalAge(kernel::Duration lifetime) {
  return lifetime + lifetime / 20 + std::chrono::seconds(1);
}

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_LIFETIMES_H_
