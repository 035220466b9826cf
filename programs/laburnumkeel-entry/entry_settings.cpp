#include "programs/laburnumkeel-entry/entry_settings.h"

#include "laburnumkeel/kernel/settings.h"

namespace laburnumkeel::entry {

std::optional<int> ParseSettings(int argument_count,
                                 const char* const* arguments,
                                 EntrySettings& settings) {
  // The secret is an HMAC-SHA-256 key, so it must be hard to guess.
  constexpr std::size_t kMinimumSecretLength = 16;
  kernel::Settings declared("laburnumkeel-entry",
                            "Entry program: serves callers");
  declared.AddText("vm", settings.vm, 1, "name of this VM");
  declared.AddText("data-centre", settings.data_centre, 1,
                   "data centre of this VM");
  declared.AddAddress("listen", settings.listen, "address for callers");
  declared.AddAddress("control", settings.control,
                      "address of this VM's control program");
  declared.AddSecret("fleet-secret", settings.fleet_secret,
                     kMinimumSecretLength,
                     "secret of the fleet, equal on all VMs");
  declared.AddInteger("request-timeout-ms", settings.request_timeout_ms, 100,
                      60000, "milliseconds",
                      "time for a request, retries included");
  declared.AddInteger("shutdown-grace-ms", settings.shutdown_grace_ms, 0, 60000,
                      "milliseconds",
                      "time between failing readiness and refusing work");
  declared.AddInteger("maximum-connections", settings.maximum_connections, 1,
                      100000, "connections", "connections of callers");
  declared.AddInteger("memory-budget-mb", settings.memory_budget_mb, 0, 1048576,
                      "MiB",
                      "memory for callers' connections, requests and answers; "
                      "0 takes half of the machine's memory");
  declared.AddInteger("receive-timeout-ms", settings.receive_timeout_ms, 100,
                      600000, "milliseconds",
                      "time for a request to arrive, from its first byte");
  declared.AddInteger("send-timeout-ms", settings.send_timeout_ms, 100, 600000,
                      "milliseconds", "time for a caller to take an answer");
  declared.AddInteger("reserved-descriptors", settings.reserved_descriptors, 16,
                      100000, "descriptors",
                      "file descriptors that callers leave free");
  return declared.Parse(argument_count, arguments);
}

}  // namespace laburnumkeel::entry
