#ifndef LABURNUMKEEL_PROGRAMS_PROXY_POOL_ENDPOINT_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_POOL_ENDPOINT_H_

#include <chrono>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/database_endpoint.h"
#include "laburnumkeel/routing/endpoint_health.h"
#include "laburnumkeel/routing/endpoint_load.h"
#include "programs/laburnumkeel-proxy/endpoint_connections.h"
#include "programs/laburnumkeel-proxy/statement_queue.h"

namespace laburnumkeel::proxy {

// What this VM keeps and knows of one endpoint of a service.
struct PoolEndpoint {
  // The leader tells of delays with each full report. Without it they are not
  // known any more.
  static constexpr std::chrono::milliseconds kDelayLifetime{1200};
  // The leader queries the lag of the replicas about once a second.
  static constexpr std::chrono::milliseconds kLagLifetime{2000};

  model::DatabaseEndpoint info;
  EndpointConnections connections;
  StatementQueue waiting;
  // Without replies, the expected response time returns to this value.
  double default_response_ms = 0;
  // Smoothed response time.
  double response_ms = 0;
  std::chrono::milliseconds lag{0};
  kernel::Instant lag_as_of;
  // What this VM's own statements say of the endpoint.
  routing::EndpointHealth health;
  // Observations that the leader has not been told yet.
  routing::EndpointLoad load;
  // What the statements of all VMs say, as told by the leader.
  routing::EndpointDelay delay;
  kernel::Instant delay_as_of;
  // Statements that wait for the endpoint or run on it.
  int outstanding = 0;
  int failures = 0;
  kernel::Instant last_contact;
  // When the newest statement that it answered was sent.
  kernel::Instant last_answered;
  kernel::Instant suspended_until;
  kernel::Instant connections_full_until;
  // When a statement that needs a new connection can expect to have it; in the
  // past when at once.
  kernel::Instant connection_expected_at;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_POOL_ENDPOINT_H_
