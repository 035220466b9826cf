#ifndef LABURNUMKEEL_PROGRAMS_PROXY_PROXY_CONTEXT_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_PROXY_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/metrics.h"
#include "laburnumkeel/kernel/runtime_clock.h"
#include "laburnumkeel/membership/stop_schedule.h"
#include "laburnumkeel/model/database_endpoint.h"
#include "laburnumkeel/model/proxy_configuration.h"
#include "laburnumkeel/routing/departure_table.h"
#include "laburnumkeel/routing/primary_table.h"
#include "platform/settings.h"
#include "programs/laburnumkeel-proxy/client_guard.h"
#include "programs/laburnumkeel-proxy/request_log.h"
#include "programs/laburnumkeel-proxy/usage_meter.h"

namespace laburnumkeel::proxy {

class ConnectionBudget;

// An endpoint whose registration is gone.
struct UnregisteredEndpoint {
  model::DatabaseEndpoint endpoint;
  kernel::Instant since;
  // When it announced that it leaves; empty when it did not.
  std::optional<kernel::Instant> draining_since;
};

// State of this process and its view of the fleet, shared by all components.
// They run on one event loop, so no locking is needed.
struct ProxyContext {
  explicit ProxyContext(platform_adapter::ProxySettings settings)
      : settings(std::move(settings)),
        clients(this->loop, this->clock, this->metrics,
                this->settings.ClientLimits()) {}

  boost::asio::io_context loop{1};
  kernel::RuntimeClock clock;
  kernel::Metrics metrics;
  RequestLog request_log;
  UsageMeter usage_meter;
  platform_adapter::ProxySettings settings;
  ClientGuard clients;
  // Null until one has been read from the store.
  std::shared_ptr<const model::ProxyConfiguration> configuration;
  // By id.
  std::map<std::string, model::DatabaseEndpoint> endpoints;
  // Endpoints that were registered within the last day and are not any more, by
  // id; those that announced their departure, within the last minutes. They
  // receive no statements of clients, but one that still responds takes part in
  // a change of primary: its log may hold commits that no other one has.
  std::map<std::string, UnregisteredEndpoint> unregistered_endpoints;
  // Endpoints that are draining or whose registration is gone, by id.
  routing::DepartureTable endpoint_departures;
  // Evacuated data centres, by name.
  routing::DepartureTable evacuations;
  routing::PrimaryTable primaries;
  // Null: no other VM uses the endpoints.
  ConnectionBudget* connection_budget = nullptr;
  // Number of VMs that share the rate limits and the endpoints' connections.
  int vm_count = 1;
  // Where the leader receives messages of other VMs; empty when it is unknown
  // or this VM itself.
  std::string leader_address;
  // When the last report that the leader answered was sent.
  kernel::Instant leader_last_contact;
  // Set once this VM was asked to stop.
  std::optional<membership::StopSchedule> stop;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_PROXY_CONTEXT_H_
