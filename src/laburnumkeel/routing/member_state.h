#ifndef LABURNUMKEEL_ROUTING_MEMBER_STATE_H_
#define LABURNUMKEEL_ROUTING_MEMBER_STATE_H_

#include <optional>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/configuration.h"
#include "laburnumkeel/model/endpoint_status.h"

namespace laburnumkeel::routing {

// An endpoint's status with the time in which it was measured. The endpoint
// made the status at some instant between the two, so ages count from `sent`.
struct MeasuredStatus {
  model::EndpointStatus status;
  kernel::Instant sent;
  kernel::Instant received;

  bool operator==(const MeasuredStatus&) const = default;
};

// What one VM knows of one endpoint of a group.
struct MemberState {
  std::string endpoint;
  std::string data_centre;
  // `kOut` when the endpoint or its data centre is out of service.
  model::Availability availability = model::Availability::kIn;
  // When this VM learned that the endpoint is out of service.
  std::optional<kernel::Instant> out_since;
  // True while the VM's connection pool to the endpoint is filled.
  bool warm = false;
  // True from the return into service until lag and pool allow reads.
  bool returning = false;
  std::optional<MeasuredStatus> measurement;

  bool operator==(const MemberState&) const = default;
};

// Upper bound of the endpoint's lag at `now`: reported staleness plus the age
// of the measurement. The largest duration when there is no measurement.
kernel::Duration Staleness(const MemberState& member, kernel::Instant now);

// True when `candidate` was made after `known`, both of the same endpoint.
//
// A request sent after the response to the other is newer. For overlapping
// requests, which long polls of `GET /v1/status` cause, the endpoint's order is
// unknown and the greater sealed term, log end and applied position decide. A
// lower sealed term never wins, because an endpoint's sealed term only grows.
bool IsNewer(const MeasuredStatus& candidate, const MeasuredStatus& known);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_MEMBER_STATE_H_
