#ifndef LABURNUMKEEL_PROGRAMS_PROXY_PROXY_CONTEXT_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_PROXY_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/metrics.h"
#include "laburnumkeel/kernel/runtime_clock.h"
#include "laburnumkeel/model/database_endpoint.h"
#include "laburnumkeel/model/proxy_configuration.h"
#include "laburnumkeel/routing/primary_table.h"
#include "platform/settings.h"
#include "programs/laburnumkeel-proxy/request_log.h"

namespace laburnumkeel::proxy {

// What this process knows of the fleet, shared by its parts. All of them run
// on one event loop, so there is no lock.
struct ProxyContext {
  explicit ProxyContext(platform_adapter::ProxySettings settings)
      : settings(std::move(settings)) {}

  boost::asio::io_context loop{1};
  kernel::RuntimeClock clock;
  kernel::Metrics metrics;
  RequestLog request_log;
  platform_adapter::ProxySettings settings;
  // Null until one was read.
  std::shared_ptr<const model::ProxyConfiguration> configuration;
  // By id.
  std::map<std::string, model::DatabaseEndpoint> endpoints;
  // Data centres that operators took out of use, and when this VM learnt it.
  std::map<std::string, kernel::Instant> evacuated;
  routing::PrimaryTable primaries;
  // VMs that share the rates and the connections of endpoints.
  int vm_count = 1;
  // When the last answered report to the leader was sent.
  kernel::Instant leader_last_contact;
  bool is_stopping = false;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_PROXY_CONTEXT_H_
