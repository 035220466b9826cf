#ifndef LABURNUMKEEL_ROUTING_ROUTING_LOG_H_
#define LABURNUMKEEL_ROUTING_ROUTING_LOG_H_

#include <string>
#include <vector>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/routing/read_router.h"
#include "laburnumkeel/routing/write_confirmation.h"
#include "laburnumkeel/routing/write_router.h"

namespace laburnumkeel::routing {

// Log the routing decision for a request and its reason.
void LogReadDecision(
    const std::string& request_id, const GroupView& view,
    const kernel::Result<std::vector<ReadCandidate>, RoutingError>& decision);
void LogWriteDecision(
    const std::string& request_id, const GroupView& view,
    const kernel::Result<WriteTarget, RoutingError>& decision);

// Logs a read response that was not returned to the caller.
void LogRejectedResponse(const std::string& request_id,
                         const std::string& endpoint, ReadVerdict verdict);

// Logs a write whose confirmation ended as `kUnknown`.
void LogUnconfirmedWrite(const std::string& request_id,
                         const ExecutedWrite& write,
                         const Confirmation& confirmation);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_ROUTING_LOG_H_
