#include "programs/laburnumkeel-proxy/duty_caller.h"

#include <algorithm>

#include "laburnumkeel/kernel/milliseconds.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using kernel::LogEvent;

DutyCaller::DutyCaller(ProxyContext& context,
                       const promotion::LeaderLease& lease)
    : context(context), lease(lease) {}

bool DutyCaller::MayCall(const LeaderDuty& duty,
                         const std::string& subject) const {
  if (this->is_stopped || !this->lease.MayCall(this->context.clock.Now())) {
    return false;
  }
  const auto call = this->calls.find({duty.name, subject});
  return call == this->calls.end() || !call->second.channel->IsBusy();
}

void DutyCaller::Call(const LeaderDuty& duty, const std::string& subject,
                      const std::string& detail, const CallMaker& make_call,
                      transport::HttpChannel::Handler handler) {
  SubjectCall& call = this->calls[{duty.name, subject}];
  if (!call.channel) {
    call.channel = std::make_unique<transport::HttpChannel>(
        this->context.loop, this->context.settings.promotion_address);
  }
  const std::uint64_t token = this->lease.Record()->token;
  const Instant called = this->context.clock.Now();
  call.token = token;
  call.expires_at = called + promotion::LeaderLease::kCallTimeout;
  transport::HttpCall request = make_call(this->context.settings.vm, token);
  // The platform need not check the token.
  request.is_withdrawable = true;
  request.timeout = promotion::LeaderLease::kCallTimeout;
  request.may_send = [this, &call] {
    return !this->is_stopped && this->IsInTime(call);
  };
  this->context.metrics.Count(duty.name + "_calls");
  LogEvent(duty.called,
           {{duty.subject_field, subject},
            {duty.detail_field, detail},
            {"token", token},
            {"lease_left_ms",
             kernel::ToMilliseconds(this->lease.HeldUntil() - called)}});
  call.channel->Send(request, [this, &duty, subject, detail, token, called,
                               handler = std::move(handler)](
                                  const transport::HttpAnswer& answer) {
    this->OnEnded(duty, subject, detail, token, called, answer);
    handler(answer);
  });
}

void DutyCaller::Tick() {
  for (auto& [subject, call] : this->calls) {
    if (call.channel->IsBusy() && !this->IsInTime(call)) {
      call.channel->GiveUp();
    }
  }
}

bool DutyCaller::IsInTime(const SubjectCall& call) const {
  const Instant now = this->context.clock.Now();
  // The timers of the event loop stop while the VM is suspended.
  return now < call.expires_at && this->lease.IsHeld(now) &&
         this->lease.Record()->token == call.token;
}

void DutyCaller::OnEnded(const LeaderDuty& duty, const std::string& subject,
                         const std::string& detail, std::uint64_t token,
                         Instant called, const transport::HttpAnswer& answer) {
  const Instant now = this->context.clock.Now();
  LogEvent(duty.ended, {{duty.subject_field, subject},
                        {duty.detail_field, detail},
                        {"token", token},
                        {"status", answer.status},
                        {"sent", !answer.is_unsent},
                        {"elapsed_ms", kernel::ToMilliseconds(now - called)},
                        {"leads", this->lease.IsHeld(now)}});
  if (answer.status == 0 && !answer.is_unsent) {
    this->settles_at = now + promotion::LeaderLease::kCallSettleTime;
  }
}

bool DutyCaller::IsSettled() const {
  return this->context.clock.Now() >= this->settles_at &&
         std::none_of(
             this->calls.begin(), this->calls.end(),
             [](const auto& entry) { return entry.second.channel->IsBusy(); });
}

}  // namespace laburnumkeel::proxy
