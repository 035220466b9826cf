#ifndef LABURNUMKEEL_STANDINS_FLEET_DISTRIBUTION_MEASUREMENT_H_
#define LABURNUMKEEL_STANDINS_FLEET_DISTRIBUTION_MEASUREMENT_H_

#include "standins/standin-fleet/fleet.h"

namespace laburnumkeel::standin {

// Changes the configuration of a started fleet several times. Prints the time
// until all VMs have each change, and the reads that the store served
// meanwhile.
// Returns whether every change reached all VMs within 18 s.
bool MeasureDistribution(Fleet& fleet);

}  // namespace laburnumkeel::standin

#endif  // LABURNUMKEEL_STANDINS_FLEET_DISTRIBUTION_MEASUREMENT_H_
