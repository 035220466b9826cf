#ifndef LABURNUMKEEL_CONFIGURATION_DIFFERENCE_H_
#define LABURNUMKEEL_CONFIGURATION_DIFFERENCE_H_

#include <string>
#include <vector>

#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// The changes from `before` to `after`, one line per field: `+` added, `-`
// removed, `~` changed. Versions are not compared. For keys, only the ids are
// shown.
std::vector<std::string> Difference(const model::Configuration& before,
                                    const model::Configuration& after);

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_DIFFERENCE_H_
