#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_ENDPOINT_MEMBERS_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_ENDPOINT_MEMBERS_H_

#include <map>
#include <memory>
#include <string>

#include "laburnumkeel/endpoints/endpoint_admin_client.h"
#include "laburnumkeel/model/configuration.h"
#include "laburnumkeel/promotion/group_members.h"

namespace laburnumkeel::control {

// Calls the endpoints of one group over the network. Copies share the
// connections.
class EndpointMembers {
 public:
  EndpointMembers(const model::DatabaseGroup& group,
                  const endpoints::Origin& origin);

  kernel::Result<model::EndpointStatus, promotion::PromotionError> Status(
      const std::string& endpoint);
  kernel::Result<promotion::MemberReply, promotion::PromotionError> Seal(
      const std::string& endpoint, model::Term term,
      const std::string& promoter);
  kernel::Result<promotion::MemberReply, promotion::PromotionError> Promote(
      const std::string& endpoint, model::Term term,
      const std::string& promoter);
  kernel::Result<model::EndpointStatus, promotion::PromotionError> Drain(
      const std::string& endpoint, std::chrono::milliseconds period);

 private:
  endpoints::EndpointAdminClient* Find(const std::string& endpoint) const;
  kernel::Result<promotion::MemberReply, promotion::PromotionError> ToReply(
      const std::string& endpoint,
      const endpoints::EndpointAdminClient::StatusResult& result);

  std::map<std::string, std::shared_ptr<endpoints::EndpointAdminClient>>
      clients;
};

static_assert(promotion::GroupMembers<EndpointMembers>);

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_ENDPOINT_MEMBERS_H_
