#ifndef LABURNUMKEEL_PROMOTION_GROUP_MEMBERS_H_
#define LABURNUMKEEL_PROMOTION_GROUP_MEMBERS_H_

#include <chrono>
#include <concepts>
#include <string>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/endpoint_status.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/promotion/promotion_error.h"

namespace laburnumkeel::promotion {

// Response to `seal` and `promote`.
struct MemberReply {
  // False when the endpoint has sealed a higher term, or the same term for
  // another promoter.
  bool accepted = false;
  // The endpoint's status after the call.
  model::EndpointStatus status;

  bool operator==(const MemberReply&) const = default;
};

// Calls the endpoints of one group by name. A call that times out fails with
// `kNoResponse`.
template <class Candidate>
concept GroupMembers = requires(Candidate& members, const std::string& endpoint,
                                model::Term term, const std::string& promoter,
                                std::chrono::milliseconds period) {
  {
    members.Status(endpoint)
    } -> std::same_as<kernel::Result<model::EndpointStatus, PromotionError>>;
  {
    members.Seal(endpoint, term, promoter)
    } -> std::same_as<kernel::Result<MemberReply, PromotionError>>;
  {
    members.Promote(endpoint, term, promoter)
    } -> std::same_as<kernel::Result<MemberReply, PromotionError>>;
  {
    members.Drain(endpoint, period)
    } -> std::same_as<kernel::Result<model::EndpointStatus, PromotionError>>;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_GROUP_MEMBERS_H_
