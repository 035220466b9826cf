#include "laburnumkeel/routing/routing_log.h"

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/routing/events.h"

namespace laburnumkeel::routing {

void LogReadDecision(
    const std::string& request_id, const GroupView& view,
    const kernel::Result<std::vector<ReadCandidate>, RoutingError>& decision) {
  if (!decision.has_value()) {
    kernel::LogEvent(kReadRefused,
                     {{"request_id", request_id},
                      {"group", view.Name()},
                      {"reason", ToString(decision.error().failure)},
                      {"message", decision.error().message}});
    return;
  }
  const ReadCandidate& first = decision.value().front();
  kernel::LogEvent(kReadRouted, {{"request_id", request_id},
                                 {"group", view.Name()},
                                 {"endpoint", first.endpoint},
                                 {"reason", ToString(first.reason)},
                                 {"candidates", decision.value().size()}});
}

void LogWriteDecision(
    const std::string& request_id, const GroupView& view,
    const kernel::Result<WriteTarget, RoutingError>& decision) {
  if (!decision.has_value()) {
    kernel::LogEvent(kWriteRefused,
                     {{"request_id", request_id},
                      {"group", view.Name()},
                      {"reason", ToString(decision.error().failure)},
                      {"message", decision.error().message}});
    return;
  }
  kernel::LogEvent(kWriteRouted, {{"request_id", request_id},
                                  {"group", view.Name()},
                                  {"endpoint", decision.value().endpoint},
                                  {"term", decision.value().term},
                                  {"reason", "current_primary"}});
}

void LogRejectedResponse(const std::string& request_id,
                         const std::string& endpoint, ReadVerdict verdict) {
  kernel::LogEvent(kReadResponseRejected,
                   {{"request_id", request_id},
                    {"endpoint", endpoint},
                    {"reason", verdict == ReadVerdict::kPositionLost
                                   ? "session_position_lost"
                                   : "behind_session"}});
}

void LogUnconfirmedWrite(const std::string& request_id,
                         const ExecutedWrite& write,
                         const Confirmation& confirmation) {
  kernel::LogEvent(kWriteUnconfirmed,
                   {{"request_id", request_id},
                    {"endpoint", write.primary},
                    {"term", write.position.term},
                    {"position", write.position.position},
                    {"reason", ToString(confirmation.reason)}});
}

}  // namespace laburnumkeel::routing
