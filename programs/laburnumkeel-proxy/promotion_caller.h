#ifndef LABURNUMKEEL_PROGRAMS_PROXY_PROMOTION_CALLER_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_PROMOTION_CALLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/promotion/leader_lease.h"
#include "laburnumkeel/transport/http_channel.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// Calls the platform to promote endpoints, under the leader lease. The platform
// executes whatever reaches it.
class PromotionCaller {
 public:
  PromotionCaller(ProxyContext& context, const promotion::LeaderLease& lease);

  // True when the leader lease lasts long enough for a call, and no call for
  // the service is under way.
  bool MayCall(const std::string& service) const;

  // Starts a call; `MayCall` must be true.
  void Call(const std::string& service, const std::string& endpoint_id,
            transport::HttpChannel::Handler handler);

  // Gives up the calls that this VM may not make any more.
  void Tick();

  // Sends no further call; those that were sent may still be answered.
  void Stop() { this->is_stopped = true; }

  // True when no call of this VM can be executed any more.
  bool IsSettled() const;

 private:
  // The call for a service, under way or the last one.
  struct ServiceCall {
    std::unique_ptr<transport::HttpChannel> channel;
    std::uint64_t token = 0;
    kernel::Instant expires_at;
  };

  // True while a call that was started may be sent and executed.
  bool IsInTime(const ServiceCall& call) const;
  void OnEnded(const std::string& service, const std::string& endpoint_id,
               std::uint64_t token, kernel::Instant called,
               const transport::HttpAnswer& answer);

  ProxyContext& context;
  const promotion::LeaderLease& lease;
  // By service.
  std::map<std::string, ServiceCall> calls;
  bool is_stopped = false;
  // When the last call without an answer counts as not executed.
  kernel::Instant settles_at;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_PROMOTION_CALLER_H_
