#ifndef LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_SELECTOR_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_SELECTOR_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/routing/departure_table.h"
#include "laburnumkeel/routing/position_samples.h"
#include "programs/laburnumkeel-proxy/pool_endpoint.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/statement_job.h"

namespace laburnumkeel::proxy {

// Chooses among the endpoints of one service: which of them may run a
// statement, under which condition, and which one does. The costs are compared
// in laburnumkeel::routing.
class EndpointSelector {
 public:
  // What an endpoint has to be asked for so that a statement sees the commits
  // that it must see.
  struct Freshness {
    bool is_met = false;
    std::optional<model::LogPosition> read_after;
    // Time since the newest commit that the read has to see; only meaningful
    // with `read_after`.
    kernel::Duration age{0};
  };

  // The references stay valid for the lifetime of the selector.
  EndpointSelector(const ProxyContext& context, const std::string& service,
                   const std::map<std::string, PoolEndpoint>& endpoints,
                   const routing::PositionSamples& samples)
      : context(context),
        service(service),
        endpoints(endpoints),
        samples(samples) {}

  // The endpoint that should run the statement; empty when none may now.
  std::optional<std::string> Choose(const StatementJob& job,
                                    kernel::Instant now) const;

  // True when the endpoint may receive the statement, or the first one of a
  // transaction: it has the required role, is in a permitted region and is not
  // about to leave.
  bool MayReceive(const StatementJob& job, const PoolEndpoint& endpoint,
                  kernel::Instant now) const;

  Freshness FreshnessFor(const StatementJob& job,
                         const std::string& endpoint_id,
                         kernel::Instant now) const;

  bool IsPrimary(const std::string& endpoint_id) const;
  bool IsInOwnRegion(const std::string& data_centre) const;
  // True shortly before the bound of the evacuation, when not even a primary
  // that has not been replaced yet may receive statements.
  bool IsPastEvacuation(const std::string& data_centre,
                        kernel::Instant now) const;

 private:
  bool IsPastBound(const routing::DepartureTable& departures,
                   const std::string& name, std::chrono::milliseconds bound,
                   kernel::Instant now) const;
  bool IsPastDeparture(const std::string& endpoint_id,
                       kernel::Instant now) const;
  double ExpectedResponseMs(const PoolEndpoint& endpoint,
                            const Freshness& freshness,
                            kernel::Instant now) const;

  const ProxyContext& context;
  const std::string& service;
  const std::map<std::string, PoolEndpoint>& endpoints;
  const routing::PositionSamples& samples;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_ENDPOINT_SELECTOR_H_
