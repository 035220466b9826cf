#ifndef LABURNUMKEEL_ROUTING_MEMBER_STATE_H_
#define LABURNUMKEEL_ROUTING_MEMBER_STATE_H_

#include <optional>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/configuration.h"
#include "laburnumkeel/model/endpoint_status.h"

namespace laburnumkeel::routing {

// An endpoint's status with the times of its request and its response. The
// endpoint produced the status at some instant between them, so its age is
// measured from `sent`.
struct MeasuredStatus {
  model::EndpointStatus status;
  kernel::Instant sent;
  kernel::Instant received;

  bool operator==(const MeasuredStatus&) const = default;
};

// What one VM knows about one endpoint of a group.
struct MemberState {
  std::string endpoint;
  std::string data_centre;
  // `kOut` if the endpoint or its data centre is out of service.
  model::Availability availability = model::Availability::kIn;
  // When this VM learned that the endpoint is out of service.
  std::optional<kernel::Instant> out_since;
  // True while the VM's connection pool to the endpoint is warm.
  bool warm = false;
  // True from the return into service until the lag is low enough for reads and
  // the pool is warm.
  bool returning = false;
  std::optional<MeasuredStatus> measurement;

  bool operator==(const MemberState&) const = default;
};

// Upper bound of the endpoint's lag at `now`: reported staleness plus the age
// of the measurement. The largest duration if there is no measurement.
kernel::Duration Staleness(const MemberState& member, kernel::Instant now);

// True if the endpoint produced `candidate` after `known`. Both are statuses of
// the same endpoint.
//
// A status requested after the other was received is newer. Long polls of
// `GET /v1/status` make requests overlap. The order in which the endpoint
// processed such requests is unknown, so the greater sealed term, log end and
// applied position decide. A lower sealed term never wins, because an
// endpoint's sealed term only grows.
bool IsNewer(const MeasuredStatus& candidate, const MeasuredStatus& known);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_MEMBER_STATE_H_
