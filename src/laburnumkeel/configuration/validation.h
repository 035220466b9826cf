#ifndef LABURNUMKEEL_CONFIGURATION_VALIDATION_H_
#define LABURNUMKEEL_CONFIGURATION_VALIDATION_H_

#include <string>
#include <vector>

#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// One value of a configuration that is not allowed.
struct Fault {
  // Path of the field, for example `services[0].groups[1].name`.
  std::string path;
  std::string value;
  std::string allowed;

  bool operator==(const Fault&) const = default;
};

// The line `<path>: value '<value>', allowed <allowed>`.
std::string ToString(const Fault& fault);

// All faults of the configuration; empty if it is valid. Names of groups,
// endpoints and keys must be unique in the whole configuration, because table
// rows, status reports and presented keys contain them without the service.
std::vector<Fault> Validate(const model::Configuration& configuration);

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_VALIDATION_H_
