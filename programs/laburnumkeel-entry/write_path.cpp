#include "programs/laburnumkeel-entry/write_path.h"

#include <algorithm>

#include "laburnumkeel/kernel/wall_clock.h"
#include "laburnumkeel/routing/routing_log.h"
#include "programs/laburnumkeel-entry/term_starts.h"

namespace laburnumkeel::entry {

namespace {

using std::chrono::milliseconds;

// The position whose confirmation confirms the write. A repeated write with an
// idempotency id can return an entry of an earlier term; that entry is durable
// once a majority has stored the first entry of the primary's own term.
model::LogPosition ConfirmablePosition(const model::LogPosition& position,
                                       const routing::WriteTarget& target,
                                       const routing::GroupView& view) {
  if (position.term >= target.term) {
    return position;
  }
  const std::vector<model::TermStart> terms =
      TermStartsOf(view, target.endpoint);
  const std::uint64_t start = terms.empty() ? 0 : terms.back().start;
  return model::LogPosition{target.term,
                            std::max(position.position, start + 1)};
}

}  // namespace

WritePath::WritePath(const Admission& admission, const Retrier& retrier)
    : admission(admission), retrier(retrier) {}

StatementOutcome WritePath::Execute(const AdmittedRequest& admitted) const {
  const std::string& group = admitted.request.group;
  bool may_have_run = false;
  for (int attempts = 1;; ++attempts) {
    auto served = this->AttemptWrite(admitted, attempts);
    if (served.has_value()) {
      const auto& value = served.value();
      return StatementOutcome{
          value, admitted.session.AfterWrite(
                     group, value.result.position,
                     TermStartsOf(*admitted.group->View(), value.endpoint))};
    }
    endpoints::EndpointError error = served.error();
    may_have_run = may_have_run || error.outcome == model::Outcome::kUnknown;
    if (this->retrier.AwaitRetry(admitted, error, attempts)) {
      continue;
    }
    // An earlier attempt may have run even if the last one did not.
    if (may_have_run) {
      error.outcome = model::Outcome::kUnknown;
      return StatementOutcome{ToCallerError(error),
                              admitted.session.AfterUnknownWrite(
                                  group, kernel::UnixMilliseconds())};
    }
    return StatementOutcome{ToCallerError(error), admitted.session};
  }
}

kernel::Result<ServedStatement, endpoints::EndpointError>
WritePath::AttemptWrite(const AdmittedRequest& admitted, int attempt) const {
  const auto view = admitted.group->View();
  const auto target = routing::RouteWrite(*view, this->clock.Now());
  routing::LogWriteDecision(admitted.request.request_id, *view, target);
  if (!target.has_value()) {
    return ToEndpointError(target.error());
  }
  const kernel::Instant started = this->clock.Now();
  const auto result = this->Send(admitted, attempt, target.value());
  if (!result.has_value()) {
    return result.error();
  }
  const routing::ExecutedWrite write{
      target.value().endpoint,
      ConfirmablePosition(result.value().position, target.value(), *view),
      started};
  const auto confirmed = this->AwaitConfirmation(
      *admitted.group, admitted.request.request_id, write);
  if (!confirmed.has_value()) {
    return confirmed.error();
  }
  return ServedStatement{result.value(), target.value().endpoint, "primary"};
}

kernel::Result<endpoints::StatementResult, endpoints::EndpointError>
WritePath::Send(const AdmittedRequest& admitted, int attempt,
                const routing::WriteTarget& target) const {
  const auto pool = admitted.group->FindPool(target.endpoint);
  if (pool == nullptr) {
    return endpoints::NotRun(endpoints::codes::kPoolClosed,
                             "the endpoint left the configuration");
  }
  auto lease = pool->Acquire(endpoints::AcquireRequest{
      admitted.account, admitted.deadline,
      [&] { return this->admission.IsStillAuthorized(admitted); },
      endpoints::LeasePurpose::kStatement});
  if (!lease.has_value()) {
    return lease.error();
  }
  const kernel::Duration timeout = std::min<kernel::Duration>(
      admitted.deadline - this->clock.Now(), routing::kAcknowledgementBound);
  return lease.value().Connection().Execute(
      endpoints::StatementRequest{
          admitted.request.request_id + "/" + std::to_string(attempt),
          endpoints::StatementKind::kWrite, admitted.request.statement,
          admitted.account, admitted.request.idempotency_id, target.term},
      std::chrono::duration_cast<milliseconds>(timeout));
}

kernel::Result<void, endpoints::EndpointError> WritePath::AwaitConfirmation(
    const GroupRuntime& group, const std::string& request_id,
    const routing::ExecutedWrite& write) const {
  auto view = group.View();
  while (true) {
    const routing::Confirmation confirmation =
        routing::ConfirmWrite(*view, write, this->clock.Now());
    if (confirmation.state == routing::ConfirmationState::kConfirmed) {
      return boost::outcome_v2::success();
    }
    if (confirmation.state == routing::ConfirmationState::kUnknown) {
      routing::LogUnconfirmedWrite(request_id, write, confirmation);
      return endpoints::Unknown(
          "write_unconfirmed",
          "the write was executed and not confirmed by a majority: " +
              std::string(routing::ToString(confirmation.reason)));
    }
    view = group.WaitForChange(view,
                               write.started + routing::kAcknowledgementBound);
  }
}

}  // namespace laburnumkeel::entry
