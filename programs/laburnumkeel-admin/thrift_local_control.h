#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_THRIFT_LOCAL_CONTROL_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_THRIFT_LOCAL_CONTROL_H_

#include <string>
#include <vector>

#include "programs/laburnumkeel-admin/local_control.h"

namespace laburnumkeel::admin {

// Calls the control program over Thrift. Opens a connection for each call,
// since operators' calls are rare and a persistent connection could be stale.
// Thread-safe.
class ThriftLocalControl {
 public:
  // `address` is `IP:port`; `timeout` applies to a complete response.
  ThriftLocalControl(std::string address, std::chrono::milliseconds timeout);

  kernel::Result<Submission, ControlError> SubmitConfiguration(
      const std::string& document, std::uint64_t base_version,
      const std::string& operation_id);
  kernel::Result<ConfigurationDocument, ControlError> CurrentConfiguration();
  kernel::Result<std::vector<FleetMember>, ControlError> FleetStatus();

 private:
  template <class Value, class Call>
  kernel::Result<Value, ControlError> Run(Call call);

  const std::string address;
  const std::chrono::milliseconds timeout;
};

static_assert(LocalControl<ThriftLocalControl>);

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_THRIFT_LOCAL_CONTROL_H_
