#include "laburnumkeel/routing/read_router.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "laburnumkeel/routing/write_router.h"

namespace laburnumkeel::routing {

namespace {

const model::EndpointStatus& StatusOf(const MemberState& member) {
  return member.measurement->status;
}

// True if the known primary has a later term and its log lacks the replica's
// last entry. Such a replica still has to discard a part of its log.
bool IsDiverged(const MemberState& replica, const MemberState* primary) {
  return primary != nullptr &&
         StatusOf(*primary).log_end.term > StatusOf(replica).log_end.term &&
         !model::IsContained(StatusOf(replica).log_end,
                             StatusOf(*primary).term_starts);
}

bool SatisfiesSession(const MemberState& replica,
                      const std::optional<model::LogPosition>& session) {
  return !session ||
         (model::IsContained(*session, StatusOf(replica).term_starts) &&
          StatusOf(replica).applied_position >= session->position);
}

bool SatisfiesStaleness(const MemberState& replica,
                        const ReadRequirement& requirement,
                        kernel::Instant now) {
  const auto bound = requirement.StalenessBound();
  return !bound || Staleness(replica, now) <= *bound;
}

// A former primary that still reports itself as the primary reports no
// staleness, although the group may have a newer primary. It serves no reads.
bool MayServeAsReplica(const GroupView& view, const MemberState& member,
                       const ReadRequirement& requirement,
                       kernel::Instant now) {
  return member.measurement &&
         StatusOf(member).role == model::EndpointRole::kReplica &&
         view.IsEligible(member.endpoint) &&
         !IsDiverged(member, view.Primary()) &&
         SatisfiesStaleness(member, requirement, now);
}

// True if the replica recently reported a low lag in the session's term.
bool HasProbablyApplied(const MemberState& replica,
                        const model::LogPosition& session,
                        kernel::Instant now) {
  const model::EndpointStatus& status = StatusOf(replica);
  return status.log_end.term == session.term &&
         status.staleness_ms <= ReadRouter::kKeepingUpStaleness.count() &&
         now - replica.measurement->sent <= ReadRouter::kKeepingUpStatusAge;
}

bool IsResponsive(const MemberState& member, kernel::Instant now) {
  return now - member.measurement->sent <= ReadRouter::kUnresponsiveAfter;
}

// A partitioned primary does not know that its state is stale, so the bound on
// staleness is met only if a majority confirmed its term within that bound.
bool NeedsConfirmation(const GroupView& view,
                       const ReadRequirement& requirement,
                       kernel::Instant now) {
  if (requirement.confirmed_primary) {
    return true;
  }
  const auto bound = requirement.StalenessBound();
  if (!bound) {
    return false;
  }
  const auto confirmed = view.PrimaryConfirmedAt();
  return !confirmed || now - *confirmed > *bound;
}

bool IsPositionLost(const GroupView& view,
                    const std::optional<model::LogPosition>& session) {
  const MemberState* primary = view.Primary();
  return session && primary != nullptr &&
         StatusOf(*primary).log_end.term > session->term &&
         !model::IsContained(*session, StatusOf(*primary).term_starts);
}

// Starts of all terms up to `term` in a log that has entries of `term`. All
// such logs agree on them, so the list of any member can be used. Empty if no
// known status contains `term`.
std::optional<std::vector<model::TermStart>> StartsUpTo(const GroupView& view,
                                                        model::Term term) {
  for (const MemberState& member : view.Members()) {
    if (!member.measurement) {
      continue;
    }
    std::vector<model::TermStart> starts = StatusOf(member).term_starts;
    std::erase_if(starts, [&](const model::TermStart& start) {
      return start.term > term;
    });
    if (!starts.empty() && starts.back().term == term) {
      return starts;
    }
  }
  return std::nullopt;
}

struct RankedCandidate {
  ReadCandidate candidate;
  // Unresponsive, primary, only probable, remote, index after rotation.
  std::tuple<bool, bool, bool, bool, std::size_t> rank;
};

std::optional<RankedCandidate> RankReplica(const GroupView& view,
                                           const MemberState& member,
                                           const ReadRequirement& requirement,
                                           bool local,
                                           std::size_t rotated_index,
                                           kernel::Instant now) {
  if (requirement.confirmed_primary ||
      !MayServeAsReplica(view, member, requirement, now)) {
    return std::nullopt;
  }
  const bool satisfies = SatisfiesSession(member, requirement.session_position);
  if (!satisfies &&
      !HasProbablyApplied(member, *requirement.session_position, now)) {
    return std::nullopt;
  }
  const bool responsive = IsResponsive(member, now);
  const ReadReason reason = !responsive  ? ReadReason::kUnresponsiveReplica
                            : !satisfies ? ReadReason::kProbableReplica
                            : local      ? ReadReason::kLocalReplica
                                         : ReadReason::kRemoteReplica;
  return RankedCandidate{
      ReadCandidate{member.endpoint, reason, false},
      {!responsive, false, !satisfies, !local, rotated_index}};
}

// Moves all probable replicas except the first candidate to the end. Each
// failed attempt occupies a slot, so the primary is tried before a second
// probable replica.
void PostponeProbable(std::vector<ReadCandidate>& candidates) {
  std::stable_partition(candidates.begin() + 1, candidates.end(),
                        [](const ReadCandidate& candidate) {
                          return candidate.reason !=
                                 ReadReason::kProbableReplica;
                        });
}

}  // namespace

std::string_view ToString(ReadReason reason) {
  switch (reason) {
    case ReadReason::kLocalReplica:
      return "local_replica";
    case ReadReason::kRemoteReplica:
      return "remote_replica";
    case ReadReason::kProbableReplica:
      return "probable_replica";
    case ReadReason::kUnresponsiveReplica:
      return "unresponsive_replica";
    case ReadReason::kPrimaryFallback:
      return "primary_fallback";
    case ReadReason::kPrimaryRequired:
      return "primary_required";
  }
  return "primary_fallback";
}

kernel::Result<std::vector<ReadCandidate>, RoutingError> ReadRouter::Route(
    const GroupView& view, const ReadRequirement& requirement,
    std::uint64_t rotation, kernel::Instant now) const {
  if (IsPositionLost(view, requirement.session_position)) {
    return RoutingError{RoutingFailure::kSessionPositionLost,
                        "term " + std::to_string(view.PrimaryTerm()) +
                            " does not contain the session's position"};
  }
  std::vector<RankedCandidate> ranked;
  std::size_t index = 0;
  for (const MemberState& member : view.Members()) {
    const std::size_t rotated_index =
        (index++ + rotation) % view.Members().size();
    auto replica = RankReplica(view, member, requirement,
                               member.data_centre == this->data_centre,
                               rotated_index, now);
    if (replica) {
      ranked.push_back(std::move(*replica));
    }
  }
  const MemberState* primary = view.Primary();
  if (primary != nullptr && MayReceivePrimaryWork(*primary, now)) {
    const ReadReason reason = requirement.confirmed_primary
                                  ? ReadReason::kPrimaryRequired
                                  : ReadReason::kPrimaryFallback;
    ranked.push_back(RankedCandidate{
        ReadCandidate{primary->endpoint, reason,
                      NeedsConfirmation(view, requirement, now)},
        {!IsResponsive(*primary, now), true, false, false, 0}});
  }
  if (ranked.empty()) {
    return RoutingError{primary == nullptr ? RoutingFailure::kNoPrimary
                                           : RoutingFailure::kNoCandidate,
                        "no endpoint of group " + view.Name() +
                            " satisfies the requirement of the read"};
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedCandidate& left, const RankedCandidate& right) {
              return left.rank < right.rank;
            });
  std::vector<ReadCandidate> candidates;
  for (RankedCandidate& entry : ranked) {
    candidates.push_back(std::move(entry.candidate));
  }
  PostponeProbable(candidates);
  return candidates;
}

ReadVerdict CheckReadResponse(const GroupView& view,
                              const ReadRequirement& requirement,
                              const std::string& endpoint,
                              const model::LogPosition& response) {
  if (!requirement.session_position) {
    return ReadVerdict::kSufficient;
  }
  const model::LogPosition& session = *requirement.session_position;
  if (response.term < session.term) {
    return ReadVerdict::kInsufficient;
  }
  if (response.term > session.term) {
    const auto starts = StartsUpTo(view, response.term);
    if (!starts) {
      return ReadVerdict::kInsufficient;
    }
    if (!model::IsContained(session, *starts)) {
      const MemberState* primary = view.Primary();
      return primary != nullptr && primary->endpoint == endpoint
                 ? ReadVerdict::kPositionLost
                 : ReadVerdict::kInsufficient;
    }
  }
  return response.position >= session.position ? ReadVerdict::kSufficient
                                               : ReadVerdict::kInsufficient;
}

}  // namespace laburnumkeel::routing
