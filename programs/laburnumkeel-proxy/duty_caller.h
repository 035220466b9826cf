#ifndef LABURNUMKEEL_PROGRAMS_PROXY_DUTY_CALLER_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_DUTY_CALLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/promotion/leader_lease.h"
#include "laburnumkeel/transport/http_channel.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// A kind of call that only the leader makes. It outlives the caller.
struct LeaderDuty {
  // In names of metrics.
  std::string name;
  // Names in the log of what a call is about, and of its content.
  std::string subject_field;
  std::string detail_field;
  // Events of a call and of its end.
  const kernel::EventDefinition& called;
  const kernel::EventDefinition& ended;
};

// Calls the platform on behalf of the leader, under the leader lease. The
// platform executes whatever reaches it, so a call is sent only while the lease
// lasts, is withdrawn when it is given up, and keeps the lease from being
// released until it cannot be executed any more.
class DutyCaller {
 public:
  // Makes the call of a holder with a fencing token.
  using CallMaker = std::function<transport::HttpCall(const std::string& holder,
                                                      std::uint64_t token)>;

  DutyCaller(ProxyContext& context, const promotion::LeaderLease& lease);

  // True when the leader lease lasts long enough for a call, and no call of the
  // duty for the subject is under way.
  bool MayCall(const LeaderDuty& duty, const std::string& subject) const;

  // Starts a call; `MayCall` must be true. `detail` describes it in the log.
  void Call(const LeaderDuty& duty, const std::string& subject,
            const std::string& detail, const CallMaker& make_call,
            transport::HttpChannel::Handler handler);

  // Gives up the calls that this VM may not make any more.
  void Tick();

  // Sends no further call; those that were sent may still be answered.
  void Stop() { this->is_stopped = true; }

  // True when no call of this VM can be executed any more.
  bool IsSettled() const;

 private:
  // The call for a subject, under way or the last one.
  struct SubjectCall {
    std::unique_ptr<transport::HttpChannel> channel;
    std::uint64_t token = 0;
    kernel::Instant expires_at;
  };

  // True while a call that was started may be sent and executed.
  bool IsInTime(const SubjectCall& call) const;
  void OnEnded(const LeaderDuty& duty, const std::string& subject,
               const std::string& detail, std::uint64_t token,
               kernel::Instant called, const transport::HttpAnswer& answer);

  ProxyContext& context;
  const promotion::LeaderLease& lease;
  // By names of duty and subject.
  std::map<std::pair<std::string, std::string>, SubjectCall> calls;
  bool is_stopped = false;
  // When the last call without an answer counts as not executed.
  kernel::Instant settles_at;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_DUTY_CALLER_H_
