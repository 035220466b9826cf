#include "programs/laburnumkeel-entry/read_path.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "laburnumkeel/kernel/wall_clock.h"
#include "laburnumkeel/routing/routing_log.h"
#include "laburnumkeel/routing/write_confirmation.h"
#include "laburnumkeel/sessions/session_requirement.h"
#include "programs/laburnumkeel-entry/term_starts.h"

namespace laburnumkeel::entry {

namespace {

using std::chrono::milliseconds;

// Time limit for the response of a candidate before the next one is tried.
// Covers the endpoint's wait for a slot (200 ms) and two region round trips.
constexpr kernel::Duration kAttemptTimeout = milliseconds(700);
// Time limit in the queue of a candidate's pool before the next one is tried.
constexpr kernel::Duration kQueueTimeout = milliseconds(150);
constexpr milliseconds kRetryDelay{20};

routing::ReadRequirement RequirementOf(const AdmittedRequest& admitted) {
  routing::ReadRequirement requirement;
  if (admitted.request.max_staleness_ms.has_value()) {
    requirement.accepted_staleness =
        milliseconds(*admitted.request.max_staleness_ms);
  }
  const sessions::SessionRequirement session =
      sessions::RequirementOf(admitted.session, admitted.request.group);
  if (session.position.position > 0) {
    requirement.session_position = session.position;
  }
  requirement.confirmed_primary =
      session.kind == sessions::RequirementKind::kConfirmedPrimary;
  return requirement;
}

}  // namespace

ReadPath::ReadPath(const Admission& admission, std::string data_centre,
                   kernel::Metrics& metrics)
    : admission(admission), router(std::move(data_centre)), metrics(metrics) {}

StatementOutcome ReadPath::Execute(const AdmittedRequest& admitted) const {
  const routing::ReadRequirement requirement = RequirementOf(admitted);
  while (true) {
    const auto view = admitted.group->View();
    const auto candidates = this->router.Route(
        *view, requirement, this->rotation++, this->clock.Now());
    routing::LogReadDecision(admitted.request.request_id, *view, candidates);
    CallerError error;
    if (!candidates.has_value()) {
      error = ToCallerError(candidates.error());
      if (candidates.error().failure ==
          routing::RoutingFailure::kSessionPositionLost) {
        return StatementOutcome{error, admitted.session};
      }
    } else {
      for (const routing::ReadCandidate& candidate : candidates.value()) {
        ReadAttempt attempt =
            this->AttemptRead(admitted, requirement, candidate,
                              candidate == candidates.value().back());
        if (attempt.result.has_value() || attempt.is_final) {
          return StatementOutcome{attempt.result, attempt.session};
        }
        error = attempt.result.error();
        if (this->clock.Now() >= admitted.deadline) {
          break;
        }
      }
    }
    // Reads have no side effects, so a failed round can always be repeated.
    this->metrics.Count("read_retries_total");
    if (this->clock.Now() + kRetryDelay >= admitted.deadline) {
      return StatementOutcome{error, admitted.session};
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
}

ReadPath::ReadAttempt ReadPath::AttemptRead(
    const AdmittedRequest& admitted,
    const routing::ReadRequirement& requirement,
    const routing::ReadCandidate& candidate, bool is_last) const {
  const kernel::Instant started = this->clock.Now();
  const std::int64_t started_unix_ms = kernel::UnixMilliseconds();
  const auto result = this->Send(admitted, candidate.endpoint, is_last);
  if (!result.has_value()) {
    const bool is_final =
        result.error().code == endpoints::codes::kBadStatement ||
        result.error().code == endpoints::codes::kAccessRevoked;
    return ReadAttempt{ToCallerError(result.error()), admitted.session,
                       is_final};
  }
  const model::LogPosition position = result.value().position;
  const routing::ReadVerdict verdict = routing::CheckReadResponse(
      *admitted.group->View(), requirement, candidate.endpoint, position);
  if (verdict != routing::ReadVerdict::kSufficient) {
    routing::LogRejectedResponse(admitted.request.request_id,
                                 candidate.endpoint, verdict);
    const bool is_position_lost =
        verdict == routing::ReadVerdict::kPositionLost;
    return ReadAttempt{
        ToCallerError(routing::RoutingError{
            is_position_lost ? routing::RoutingFailure::kSessionPositionLost
                             : routing::RoutingFailure::kNoCandidate,
            "the endpoint's state is older than the session"}),
        admitted.session, is_position_lost};
  }
  if (candidate.needs_confirmation &&
      !this->AwaitPrimaryConfirmation(admitted, position.term, started)) {
    return ReadAttempt{ToCallerError(routing::RoutingError{
                           routing::RoutingFailure::kNoPrimary,
                           "no majority confirmed the primary after the read"}),
                       admitted.session, false};
  }
  const auto view = admitted.group->View();
  const std::vector<model::TermStart> terms =
      TermStartsOf(*view, candidate.endpoint);
  const bool is_primary = view->Primary() != nullptr &&
                          view->Primary()->endpoint == candidate.endpoint;
  return ReadAttempt{
      ServedStatement{result.value(), candidate.endpoint,
                      is_primary ? "primary" : "replica"},
      candidate.needs_confirmation
          ? admitted.session.AfterConfirmedRead(
                admitted.request.group, position, terms, started_unix_ms)
          : admitted.session.AfterRead(admitted.request.group, position, terms),
      true};
}

kernel::Result<endpoints::StatementResult, endpoints::EndpointError>
ReadPath::Send(const AdmittedRequest& admitted, const std::string& endpoint,
               bool is_last) const {
  const auto pool = admitted.group->FindPool(endpoint);
  if (pool == nullptr) {
    return endpoints::NotRun(endpoints::codes::kPoolClosed,
                             "the endpoint left the configuration");
  }
  const kernel::Instant now = this->clock.Now();
  auto lease = pool->Acquire(endpoints::AcquireRequest{
      admitted.account,
      is_last ? admitted.deadline
              : std::min(admitted.deadline, now + kQueueTimeout),
      [&] { return this->admission.IsStillAuthorized(admitted); },
      endpoints::LeasePurpose::kStatement});
  if (!lease.has_value()) {
    return lease.error();
  }
  const kernel::Duration timeout =
      std::min(admitted.deadline - this->clock.Now(), kAttemptTimeout);
  return lease.value().Connection().Execute(
      endpoints::StatementRequest{
          admitted.request.request_id, endpoints::StatementKind::kRead,
          admitted.request.statement, admitted.account, std::nullopt, 0},
      std::chrono::duration_cast<milliseconds>(timeout));
}

bool ReadPath::AwaitPrimaryConfirmation(const AdmittedRequest& admitted,
                                        model::Term term,
                                        kernel::Instant started) const {
  auto view = admitted.group->View();
  while (!routing::IsPrimaryConfirmed(*view, term, started)) {
    if (view->HighestTerm() > term || this->clock.Now() >= admitted.deadline) {
      return false;
    }
    view = admitted.group->WaitForChange(view, admitted.deadline);
  }
  return true;
}

}  // namespace laburnumkeel::entry
