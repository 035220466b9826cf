#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_CONFIGURATION_EDIT_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_CONFIGURATION_EDIT_H_

#include <functional>
#include <optional>
#include <string>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/configuration.h"
#include "programs/laburnumkeel-admin/admin_error.h"

namespace laburnumkeel::admin {

// A change of one entry of the configuration.
struct ConfigurationEdit {
  // Returns the changed configuration, or the reason why the change does not
  // apply.
  std::function<kernel::Result<model::Configuration, AdminError>(
      const model::Configuration&)>
      apply;
  // Returns the value that the change replaces, as text. A change may be
  // retried on a newer version only while this value is unchanged.
  std::function<std::string(const model::Configuration&)> precondition;
};

ConfigurationEdit GrantKey(const std::string& account, model::KeyHash key);
ConfigurationEdit RevokeKey(const std::string& account,
                            const std::string& key_id);
// Absent values stay unchanged.
ConfigurationEdit SetAccountLimits(const std::string& account,
                                   std::optional<double> rate,
                                   std::optional<double> burst);
ConfigurationEdit SetDataCentreState(const std::string& data_centre,
                                     model::Availability availability);
ConfigurationEdit SetEndpointState(const std::string& service,
                                   const std::string& group,
                                   const std::string& endpoint,
                                   model::Availability availability);

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_CONFIGURATION_EDIT_H_
