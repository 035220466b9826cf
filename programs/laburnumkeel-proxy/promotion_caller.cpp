#include "programs/laburnumkeel-proxy/promotion_caller.h"

#include <algorithm>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/milliseconds.h"
#include "platform/promotion_call.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using kernel::LogEvent;

PromotionCaller::PromotionCaller(ProxyContext& context,
                                 const promotion::LeaderLease& lease)
    : context(context), lease(lease) {}

bool PromotionCaller::MayCall(const std::string& service) const {
  if (this->is_stopped || !this->lease.MayCall(this->context.clock.Now())) {
    return false;
  }
  const auto call = this->calls.find(service);
  return call == this->calls.end() || !call->second.channel->IsBusy();
}

void PromotionCaller::Call(const std::string& service,
                           const std::string& endpoint_id,
                           transport::HttpChannel::Handler handler) {
  ServiceCall& call = this->calls[service];
  if (!call.channel) {
    call.channel = std::make_unique<transport::HttpChannel>(
        this->context.loop, this->context.settings.promotion_address);
  }
  transport::HttpCall request = platform_adapter::PromotionCall(
      service, endpoint_id, this->context.settings.vm,
      this->lease.Record()->token);
  const Instant called = this->context.clock.Now();
  call.token = this->lease.Record()->token;
  call.expires_at = called + promotion::LeaderLease::kCallTimeout;
  request.timeout = promotion::LeaderLease::kCallTimeout;
  request.may_send = [this, &call] {
    return !this->is_stopped && this->IsInTime(call);
  };
  this->context.metrics.Count("promotion_calls");
  LogEvent(kPromotionCalled,
           {{"service", service},
            {"endpoint", endpoint_id},
            {"token", call.token},
            {"lease_left_ms",
             kernel::ToMilliseconds(this->lease.HeldUntil() - called)}});
  call.channel->Send(request, [this, service, endpoint_id, token = call.token,
                               called, handler = std::move(handler)](
                                  const transport::HttpAnswer& answer) {
    this->OnEnded(service, endpoint_id, token, called, answer);
    handler(answer);
  });
}

void PromotionCaller::Tick() {
  for (auto& [service, call] : this->calls) {
    if (call.channel->IsBusy() && !this->IsInTime(call)) {
      call.channel->GiveUp();
    }
  }
}

bool PromotionCaller::IsInTime(const ServiceCall& call) const {
  const Instant now = this->context.clock.Now();
  // The timers of the event loop stop while the VM is suspended.
  return now < call.expires_at && this->lease.IsHeld(now) &&
         this->lease.Record()->token == call.token;
}

void PromotionCaller::OnEnded(const std::string& service,
                              const std::string& endpoint_id,
                              std::uint64_t token, Instant called,
                              const transport::HttpAnswer& answer) {
  const Instant now = this->context.clock.Now();
  LogEvent(kPromotionCallEnded,
           {{"service", service},
            {"endpoint", endpoint_id},
            {"token", token},
            {"status", answer.status},
            {"sent", !answer.is_unsent},
            {"elapsed_ms", kernel::ToMilliseconds(now - called)},
            {"leads", this->lease.IsHeld(now)}});
  if (answer.status == 0 && !answer.is_unsent) {
    this->settles_at = now + promotion::LeaderLease::kCallSettleTime;
  }
}

bool PromotionCaller::IsSettled() const {
  return this->context.clock.Now() >= this->settles_at &&
         std::none_of(
             this->calls.begin(), this->calls.end(),
             [](const auto& entry) { return entry.second.channel->IsBusy(); });
}

}  // namespace laburnumkeel::proxy
