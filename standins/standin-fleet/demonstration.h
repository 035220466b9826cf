#ifndef LABURNUMKEEL_STANDINS_FLEET_DEMONSTRATION_H_
#define LABURNUMKEEL_STANDINS_FLEET_DEMONSTRATION_H_

#include "standins/standin-fleet/fleet.h"

namespace laburnumkeel::standin {

// Runs statements through a started fleet and prints each step with its
// result. Returns the number of steps with an unexpected result.
int RunDemonstration(Fleet& fleet);

}  // namespace laburnumkeel::standin

#endif  // LABURNUMKEEL_STANDINS_FLEET_DEMONSTRATION_H_
