#include "standins/standin-platform/platform_settings.h"

#include "standins/common/latency_table.h"
#include "standins/standin-platform/vm_list.h"

namespace laburnumkeel::standins {

void PlatformSettings::Declare(kernel::Settings& settings) {
  settings.AddAddress("listen", this->listen,
                      "listen address of the platform's services");
  settings.AddAddress("faults-listen", this->faults_listen,
                      "listen address of fault injection");
  settings.AddText("latencies", this->latencies, 0,
                   "one-way latency to each data centre in milliseconds, as "
                   "dc1=0,dc2=8");
  settings.AddText("vms", this->vms, 0,
                   "listed VMs, as "
                   "name=data_centre/control_address/entry_address,...");
  settings.AddInteger("vm-list-lag-ms", this->vm_list_lag_ms, 0, 600000,
                      "milliseconds",
                      "time until a change of the VM list is visible");
}

std::optional<std::string> PlatformSettings::CheckLists() const {
  if (!LatencyTable::Parse(this->latencies).has_value()) {
    return "--latencies: value '" + this->latencies +
           "', allowed dc1=0,dc2=8 with 0 to 10000 milliseconds";
  }
  if (!ParseVmSetting(this->vms).has_value()) {
    return "--vms: value '" + this->vms +
           "', allowed name=data_centre/control_address/entry_address,... "
           "with different names";
  }
  return std::nullopt;
}

}  // namespace laburnumkeel::standins
