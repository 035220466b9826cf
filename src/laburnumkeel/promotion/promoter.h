#ifndef LABURNUMKEEL_PROMOTION_PROMOTER_H_
#define LABURNUMKEEL_PROMOTION_PROMOTER_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/endpoint_status.h"
#include "laburnumkeel/promotion/events.h"
#include "laburnumkeel/promotion/group_members.h"
#include "laburnumkeel/promotion/primary_publisher.h"
#include "laburnumkeel/promotion/promotion_error.h"
#include "laburnumkeel/promotion/promotion_result.h"

namespace laburnumkeel::promotion {

struct PromotionRequest {
  std::string group;
  // All configured members, in the order in which they are sealed. A member
  // that is suspected to be down belongs at the end: sealing stops at a
  // majority.
  std::vector<std::string> members;
  // Highest term known to the caller at the time of its decision. The promoter
  // uses exactly the next term, so that a promoter that was suspended after the
  // decision loses against any promotion made in the meantime.
  model::Term known_term = 0;
  // Of several members with the greatest log end, `preferred` is promoted and
  // `avoided` is not; both may be empty.
  std::string preferred;
  std::string avoided;
  // Seal all reachable members, so that the preferred one is among them.
  bool seal_all = false;

  bool operator==(const PromotionRequest&) const = default;
};

namespace detail {

// Returns the sealed member to promote. The greatest log end decides, because
// only that log is guaranteed to hold all acknowledged writes.
inline const model::EndpointStatus& ChooseSealed(
    const std::vector<model::EndpointStatus>& sealed,
    const PromotionRequest& request) {
  const auto rank = [&](const model::EndpointStatus& status) {
    return std::make_tuple(status.log_end, status.endpoint == request.preferred,
                           status.endpoint != request.avoided);
  };
  return *std::max_element(sealed.begin(), sealed.end(),
                           [&](const model::EndpointStatus& left,
                               const model::EndpointStatus& right) {
                             return rank(left) < rank(right);
                           });
}

}  // namespace detail

// Moves a group to a new primary: seals the next term on a majority, promotes
// the sealed member with the greatest log end and publishes it. Not
// thread-safe.
template <GroupMembers Members, platform::TableStore Store>
class Promoter {
 public:
  // `vm` and `incarnation` make the promoter ids of this process unique.
  Promoter(std::string vm, std::string incarnation, Members members,
           Store store)
      : identity(std::move(vm) + "/" + std::move(incarnation)),
        members(std::move(members)),
        publisher(std::move(store)) {}

  // Errors: `kNoMajority`, `kLostRace` and `kUnconfirmed`. After each of them
  // another attempt needs a higher term. The result is not yet published.
  kernel::Result<PromotionResult, PromotionError> Promote(
      const PromotionRequest& request) {
    const std::string promoter = this->NextPromoterId(request.group);
    kernel::LogEvent(kPromotionStarted, {{"group", request.group},
                                         {"term", request.known_term + 1},
                                         {"promoter", promoter}});
    auto result = this->SealAndPromote(request, promoter);
    if (result.has_value()) {
      kernel::LogEvent(kPromoted, {{"group", request.group},
                                   {"endpoint", result.value().endpoint},
                                   {"term", result.value().term},
                                   {"promoter", promoter},
                                   {"reason", "greatest_sealed_log_end"}});
    } else {
      kernel::LogEvent(kPromotionFailed,
                       {{"group", request.group},
                        {"promoter", promoter},
                        {"reason", ToString(result.error().failure)},
                        {"message", result.error().message}});
    }
    return result;
  }

  // See `PrimaryPublisher::Publish`. A failure does not undo the promotion;
  // call it again when the store is available.
  kernel::Result<void, PromotionError> Publish(const PromotionResult& primary) {
    return this->publisher.Publish(primary);
  }

 private:
  // A call without a response is repeated once: the endpoint accepts the same
  // term again from the same promoter.
  static constexpr int kCallAttempts = 2;

  // Each attempt needs its own id: an endpoint would take a second attempt with
  // the same id for a retry of the first, and both could promote in one term.
  std::string NextPromoterId(const std::string& group) {
    ++this->attempt;
    return this->identity + "/" + group + "/" + std::to_string(this->attempt);
  }

  kernel::Result<PromotionResult, PromotionError> SealAndPromote(
      const PromotionRequest& request, const std::string& promoter) {
    const model::Term term = request.known_term + 1;
    const std::size_t majority = request.members.size() / 2 + 1;
    std::vector<model::EndpointStatus> sealed;
    model::Term highest = request.known_term;
    bool refused = false;
    for (const std::string& member : request.members) {
      const auto reply = this->Seal(member, term, promoter);
      if (!reply.has_value()) {
        continue;
      }
      highest = std::max(highest, reply.value().status.sealed_term);
      if (reply.value().accepted) {
        sealed.push_back(reply.value().status);
      }
      refused = refused || !reply.value().accepted;
      if (sealed.size() >= majority && !request.seal_all) {
        break;
      }
    }
    if (sealed.size() < majority) {
      return PromotionError{
          refused ? PromotionFailure::kLostRace : PromotionFailure::kNoMajority,
          "sealed term " + std::to_string(term) + " on " +
              std::to_string(sealed.size()) + " of " +
              std::to_string(request.members.size()) + " members",
          highest};
    }
    const std::string& chosen = detail::ChooseSealed(sealed, request).endpoint;
    return this->PromoteChosen(request.group, chosen, term, promoter);
  }

  kernel::Result<MemberReply, PromotionError> Seal(
      const std::string& member, model::Term term,
      const std::string& promoter) {
    auto reply = this->members.Seal(member, term, promoter);
    for (int call = 1; !reply.has_value() && call < kCallAttempts; ++call) {
      reply = this->members.Seal(member, term, promoter);
    }
    return reply;
  }

  // No other member is tried when the response is lost: the chosen one may
  // already be the primary, and a term must not have two primaries.
  kernel::Result<PromotionResult, PromotionError> PromoteChosen(
      const std::string& group, const std::string& chosen, model::Term term,
      const std::string& promoter) {
    for (int call = 0; call < kCallAttempts; ++call) {
      const auto reply = this->members.Promote(chosen, term, promoter);
      if (!reply.has_value()) {
        continue;
      }
      if (reply.value().accepted) {
        return PromotionResult{group, term, chosen, promoter};
      }
      return PromotionError{PromotionFailure::kLostRace,
                            chosen + " refused promotion",
                            std::max(term, reply.value().status.sealed_term)};
    }
    return PromotionError{PromotionFailure::kUnconfirmed,
                          "no response to the promotion of " + chosen, term};
  }

  std::string identity;
  std::uint64_t attempt = 0;
  Members members;
  PrimaryPublisher<Store> publisher;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_PROMOTER_H_
