#include "standins/standin-endpoint/endpoint_settings.h"

#include "standins/common/latency_table.h"
#include "standins/common/named_values.h"

namespace laburnumkeel::standins {

void EndpointSettings::Declare(kernel::Settings& settings) {
  settings.AddText("name", this->name, 1, "name of the endpoint");
  settings.AddText("group", this->group, 1, "name of the database group");
  settings.AddText("data-centre", this->data_centre, 1,
                   "data centre of the endpoint");
  settings.AddAddress("listen", this->listen,
                      "listen address of the database protocol");
  settings.AddAddress("faults-listen", this->faults_listen,
                      "listen address of fault injection");
  settings.AddText("members", this->members, 0,
                   "members of the group, as name=IP:port,...");
  settings.AddText("latencies", this->latencies, 0,
                   "one-way latency to each data centre in milliseconds, as "
                   "dc1=0,dc2=8");
  settings.AddSwitch("initial-primary", this->initial_primary,
                     "start as the primary of term 1");
  settings.AddSwitch("record-received", this->record_received,
                     "keep received bytes for GET /received");
  settings.AddInteger("slots", this->slots, 1, 1000, "slots",
                      "statements and transactions at the same time");
  settings.AddInteger("connect-delay-ms", this->connect_delay_ms, 0, 10000,
                      "milliseconds", "time before a new connection is served");
  settings.AddInteger("statement-ms", this->statement_ms, 0, 60000,
                      "milliseconds", "time that a statement takes");
  settings.AddInteger("replication-lag-ms", this->replication_lag_ms, 0, 600000,
                      "milliseconds",
                      "time between receipt and application of an entry");
}

std::optional<std::string> EndpointSettings::CheckLists() const {
  if (!ParseNamedAddresses(this->members).has_value()) {
    return "--members: value '" + this->members +
           "', allowed name=IP:port,... with different names";
  }
  if (!LatencyTable::Parse(this->latencies).has_value()) {
    return "--latencies: value '" + this->latencies +
           "', allowed dc1=0,dc2=8 with 0 to 10000 milliseconds";
  }
  return std::nullopt;
}

}  // namespace laburnumkeel::standins
