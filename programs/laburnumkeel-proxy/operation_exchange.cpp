#include "programs/laburnumkeel-proxy/operation_exchange.h"

#include <boost/asio/post.hpp>
#include <exception>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using boost::asio::ip::udp;
using kernel::Instant;
using kernel::LogEvent;

OperationExchange::OperationExchange(ProxyContext& context, AccountGate& gate,
                                     PeerSocket& socket)
    : context(context),
      gate(gate),
      socket(socket),
      pool(context.settings.vm),
      timer(context.loop) {
  this->gate.UseDelegates(this->search, this->pool,
                          [this] { this->SendSoon(); });
  this->socket.AddReceiver(
      {[this](std::string_view bytes, const udp::endpoint& sender) {
         return this->OnDatagram(bytes, sender);
       },
       [this] { this->AnswerRequests(); }});
}

void OperationExchange::Follow(const membership::DelegateRing& ring,
                               Instant confirmed_at, std::string_view source) {
  const Instant now = this->context.clock.Now();
  if (!this->pool.Follow(ring, confirmed_at, now)) {
    return;
  }
  this->search.Follow(ring, this->context.settings.vm,
                      this->context.settings.data_centre,
                      this->context.settings.regions);
  LogEvent(kDelegatesFollowed, {{"revision", ring.revision},
                                {"members", ring.members.size()},
                                {"joining", ring.joining.size()},
                                {"retired", ring.retired.size()},
                                {"accounts", this->pool.AccountCount()},
                                {"source", source}});
  this->gate.OnDelegatesChanged();
}

void OperationExchange::Confirm(std::uint64_t revision, Instant confirmed_at) {
  this->pool.Confirm(revision, confirmed_at, this->context.clock.Now());
}

void OperationExchange::Tick(Instant now) {
  if (this->context.configuration != this->limits_of) {
    this->limits_of = this->context.configuration;
    std::map<std::string, limits::ShareAmount> limits;
    for (const auto& [name, account] : this->limits_of->accounts) {
      limits[name] = AccountLimit(this->context.settings, account);
    }
    this->pool.SetLimits(limits, now);
  }
  const bool is_confirmed = this->pool.IsConfirmed(now);
  if (std::exchange(this->was_confirmed, is_confirmed) && !is_confirmed) {
    LogEvent(kDelegateUnconfirmed, {{"revision", this->Revision()},
                                    {"accounts", this->pool.AccountCount()}});
  }
}

bool OperationExchange::OnDatagram(std::string_view bytes,
                                   const udp::endpoint& sender) {
  if (auto request = peer::DecodeOperationRequest(bytes)) {
    this->received.push_front({std::move(*request), sender});
    if (this->received.size() > kMaximumRequests) {
      this->received.pop_back();
      this->context.metrics.Count("operation_requests_dropped");
    }
    return true;
  }
  if (const auto answer = peer::DecodeOperationAnswer(bytes)) {
    this->OnAnswer(*answer);
    return true;
  }
  return false;
}

void OperationExchange::AnswerRequests() {
  for (const auto& [request, sender] : std::exchange(this->received, {})) {
    const Instant now = this->context.clock.Now();
    peer::OperationAnswer answer;
    answer.sequence = request.sequence;
    for (const auto& [account, operations] : request.needs) {
      const limits::DelegateGrant grant =
          this->pool.Take(account, operations, now);
      this->context.metrics.Count("operations_granted",
                                  static_cast<std::uint64_t>(grant.operations));
      this->context.metrics.Count(
          "operations_not_granted",
          static_cast<std::uint64_t>(operations - grant.operations));
      answer.grants[account] = grant;
    }
    this->socket.Send(peer::Encode(answer), sender);
  }
}

void OperationExchange::OnAnswer(const peer::OperationAnswer& answer) {
  const auto found = this->in_flight.find(answer.sequence);
  if (found == this->in_flight.end()) {
    return;
  }
  const SentRequest request = std::move(found->second);
  this->in_flight.erase(found);
  this->search.OnAnswered(request.delegate);
  for (const auto& [account, grant] : answer.grants) {
    this->gate.OnDelegateGrant(account, request.delegate, grant, request.sent);
  }
}

void OperationExchange::SendSoon() {
  if (!std::exchange(this->is_send_due, true)) {
    boost::asio::post(this->context.loop, [this] {
      this->is_send_due = false;
      this->SendRequests();
    });
  }
  this->ScheduleTick();
}

void OperationExchange::SendRequests() {
  const Instant now = this->context.clock.Now();
  for (const auto& [delegate, needs] : this->gate.TakeRequests(now)) {
    peer::OperationRequest request;
    request.sequence = ++this->sequence;
    request.needs = needs;
    this->in_flight[request.sequence] = {delegate, now};
    if (this->in_flight.size() > kMaximumInFlight) {
      this->in_flight.erase(this->in_flight.begin());
    }
    this->context.metrics.Count("operation_requests");
    this->socket.SendTo(this->search.AddressOf(delegate),
                        peer::Encode(request));
  }
}

void OperationExchange::ScheduleTick() {
  if (std::exchange(this->is_timer_active, true)) {
    return;
  }
  this->timer.expires_after(kPendingTick);
  this->timer.async_wait([this](boost::system::error_code error) {
    this->is_timer_active = false;
    if (error) {
      return;
    }
    this->gate.Tick(this->context.clock.Now());
    if (this->gate.IsAwaitingDelegates()) {
      this->ScheduleTick();
    }
  });
}

}  // namespace laburnumkeel::proxy
