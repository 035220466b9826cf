#include "programs/laburnumkeel-control/control_settings.h"

#include "laburnumkeel/kernel/settings.h"

namespace laburnumkeel::control {

std::optional<int> ParseSettings(int argument_count,
                                 const char* const* arguments,
                                 ControlSettings& settings) {
  kernel::Settings declared(
      "laburnumkeel-control",
      "Control program: configuration, shares, failure detection, promotion");
  declared.AddText("vm", settings.vm, 1, "name of this VM");
  declared.AddText("data-centre", settings.data_centre, 1,
                   "data centre of this VM");
  declared.AddAddress("peer-listen", settings.peer_listen,
                      "address for the control programs of other VMs");
  declared.AddAddress("local-listen", settings.local_listen,
                      "address for the other programs of this VM");
  declared.AddAddress("platform", settings.platform,
                      "address of the platform's table service");
  declared.AddInteger("platform-timeout-ms", settings.platform_timeout_ms, 50,
                      10000, "milliseconds",
                      "timeout of a call to the platform");
  declared.AddInteger("reserve-percent", settings.reserve_percent, 0, 100,
                      "percent",
                      "part of each rate and burst that stays usable during a "
                      "store outage");
  declared.AddInteger("reserve-lifetime-s", settings.reserve_lifetime_s, 60,
                      604800, "seconds",
                      "time for which the reserve stays usable without the "
                      "store; a crashed VM's reserve is lost for as long");
  declared.AddSwitch("poll-only", settings.poll_only,
                     "read the configuration from the store once a second on "
                     "every VM, without signals between VMs");
  declared.AddInteger("peer-maximum-connections",
                      settings.peer_maximum_connections, 1, 100000,
                      "connections", "connections at each Thrift port");
  declared.AddInteger("peer-receive-timeout-ms",
                      settings.peer_receive_timeout_ms, 100, 600000,
                      "milliseconds",
                      "time after which a Thrift connection without a byte is "
                      "closed; more than 20000 between VMs");
  return declared.Parse(argument_count, arguments);
}

}  // namespace laburnumkeel::control
