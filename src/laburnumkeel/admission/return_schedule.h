#ifndef LABURNUMKEEL_ADMISSION_RETURN_SCHEDULE_H_
#define LABURNUMKEEL_ADMISSION_RETURN_SCHEDULE_H_

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::admission {

// When a client that was refused should return.
//
// Load pattern: many clients are refused at the same moment. With the same
// delay for all of them they would return at the same moment and be refused
// again. They are spread over the time that the room needs for what waits now,
// with the more urgent in the earlier part.
//
// `drain` is the expected time until the room has served what waits; `rank` is
// 0 for the most urgent priority and `ranks`, at least 1, the number of
// priorities; `random` lies in [0, 1).
kernel::Duration ReturnDelay(kernel::Duration drain, int rank, int ranks,
                             double random);

}  // namespace laburnumkeel::admission

#endif  // LABURNUMKEEL_ADMISSION_RETURN_SCHEDULE_H_
