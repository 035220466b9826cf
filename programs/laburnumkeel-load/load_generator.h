#ifndef LABURNUMKEEL_PROGRAMS_LOAD_LOAD_GENERATOR_H_
#define LABURNUMKEEL_PROGRAMS_LOAD_LOAD_GENERATOR_H_

#include "programs/laburnumkeel-load/load_plan.h"
#include "programs/laburnumkeel-load/load_report.h"

namespace laburnumkeel::load {

// Sends the requests of `plan` at their due times, whether or not earlier ones
// have ended, and returns after the last one. Latency is measured from the due
// time, so that it includes the time for which requests queue behind a slow
// fleet.
void RunLoad(const LoadPlan& plan, LoadReport& report);

}  // namespace laburnumkeel::load

#endif  // LABURNUMKEEL_PROGRAMS_LOAD_LOAD_GENERATOR_H_
