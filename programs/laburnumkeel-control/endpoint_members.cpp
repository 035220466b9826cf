#include "programs/laburnumkeel-control/endpoint_members.h"

namespace laburnumkeel::control {

namespace {

// A polling round queries three members in turn; with this timeout a member
// that does not respond cannot make the round longer than the failure
// detector's own interval.
constexpr std::chrono::milliseconds kResponseTimeout{400};

promotion::PromotionError NoResponse(const std::string& endpoint,
                                     const std::string& reason) {
  return promotion::PromotionError{promotion::PromotionFailure::kNoResponse,
                                   endpoint + ": " + reason, 0};
}

}  // namespace

EndpointMembers::EndpointMembers(const model::DatabaseGroup& group,
                                 const endpoints::Origin& origin) {
  for (const model::Endpoint& endpoint : group.endpoints) {
    this->clients.emplace(endpoint.name,
                          std::make_shared<endpoints::EndpointAdminClient>(
                              endpoint.address, origin, kResponseTimeout));
  }
}

kernel::Result<model::EndpointStatus, promotion::PromotionError>
EndpointMembers::Status(const std::string& endpoint) {
  endpoints::EndpointAdminClient* client = this->Find(endpoint);
  if (client == nullptr) {
    return NoResponse(endpoint, "not a member");
  }
  auto status = client->Status();
  if (!status.has_value()) {
    return NoResponse(endpoint, status.error().message);
  }
  return status.value();
}

kernel::Result<promotion::MemberReply, promotion::PromotionError>
EndpointMembers::Seal(const std::string& endpoint, model::Term term,
                      const std::string& promoter) {
  endpoints::EndpointAdminClient* client = this->Find(endpoint);
  if (client == nullptr) {
    return NoResponse(endpoint, "not a member");
  }
  return this->ToReply(endpoint, client->Seal(term, promoter));
}

kernel::Result<promotion::MemberReply, promotion::PromotionError>
EndpointMembers::Promote(const std::string& endpoint, model::Term term,
                         const std::string& promoter) {
  endpoints::EndpointAdminClient* client = this->Find(endpoint);
  if (client == nullptr) {
    return NoResponse(endpoint, "not a member");
  }
  return this->ToReply(endpoint, client->Promote(term, promoter));
}

kernel::Result<model::EndpointStatus, promotion::PromotionError>
EndpointMembers::Drain(const std::string& endpoint,
                       std::chrono::milliseconds period) {
  endpoints::EndpointAdminClient* client = this->Find(endpoint);
  if (client == nullptr) {
    return NoResponse(endpoint, "not a member");
  }
  auto status = client->Drain(period);
  if (!status.has_value()) {
    return NoResponse(endpoint, status.error().message);
  }
  return status.value();
}

endpoints::EndpointAdminClient* EndpointMembers::Find(
    const std::string& endpoint) const {
  const auto client = this->clients.find(endpoint);
  return client == this->clients.end() ? nullptr : client->second.get();
}

kernel::Result<promotion::MemberReply, promotion::PromotionError>
EndpointMembers::ToReply(
    const std::string& endpoint,
    const endpoints::EndpointAdminClient::StatusResult& result) {
  if (result.has_value()) {
    return promotion::MemberReply{true, result.value()};
  }
  if (result.error().code != endpoints::codes::kNotAccepted) {
    return NoResponse(endpoint, result.error().message);
  }
  // The promoter needs the term that the endpoint has sealed instead.
  const auto status = this->Status(endpoint);
  if (!status.has_value()) {
    return status.error();
  }
  return promotion::MemberReply{false, status.value()};
}

}  // namespace laburnumkeel::control
