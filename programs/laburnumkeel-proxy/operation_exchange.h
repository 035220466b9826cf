#ifndef LABURNUMKEEL_PROGRAMS_PROXY_OPERATION_EXCHANGE_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_OPERATION_EXCHANGE_H_

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "laburnumkeel/limits/delegate_pool.h"
#include "laburnumkeel/limits/delegate_search.h"
#include "laburnumkeel/membership/delegate_ring.h"
#include "laburnumkeel/peer/operation_message.h"
#include "programs/laburnumkeel-proxy/account_gate.h"
#include "programs/laburnumkeel-proxy/peer_socket.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// Requests operations from the delegates of accounts on behalf of the gate, and
// answers the requests of other VMs as a delegate.
class OperationExchange {
 public:
  // Adds itself to the receivers of `socket`.
  OperationExchange(ProxyContext& context, AccountGate& gate,
                    PeerSocket& socket);

  // `ring` was in force at `confirmed_at`, as published in the leader's record
  // or sent by the leader; `source` is for the log.
  void Follow(const membership::DelegateRing& ring,
              kernel::Instant confirmed_at, std::string_view source);

  // The leader confirms that the ring of this revision was in force.
  void Confirm(std::uint64_t revision, kernel::Instant confirmed_at);

  std::uint64_t Revision() const { return this->pool.Ring().revision; }

  // Applies changed limits and notes when the ring is not confirmed any more.
  void Tick(kernel::Instant now);

 private:
  // While operations wait, delegates that do not answer are noticed within this
  // time.
  static constexpr std::chrono::milliseconds kPendingTick{20};
  // Requests in one pass that are answered. Older ones are dropped: their VMs
  // have turned to another delegate.
  static constexpr std::size_t kMaximumRequests = 500;
  static constexpr std::size_t kMaximumInFlight = 256;

  struct ReceivedRequest {
    peer::OperationRequest request;
    boost::asio::ip::udp::endpoint sender;
  };
  struct SentRequest {
    std::string delegate;
    kernel::Instant sent;
  };

  bool OnDatagram(std::string_view bytes,
                  const boost::asio::ip::udp::endpoint& sender);
  // Answers the newest requests first: the VMs that sent the oldest ones may
  // have given up.
  void AnswerRequests();
  void OnAnswer(const peer::OperationAnswer& answer);
  void SendSoon();
  void SendRequests();
  void ScheduleTick();

  ProxyContext& context;
  AccountGate& gate;
  PeerSocket& socket;
  limits::DelegatePool pool;
  limits::DelegateSearch search;
  boost::asio::steady_timer timer;
  std::deque<ReceivedRequest> received;
  std::int64_t sequence = 0;
  std::map<std::int64_t, SentRequest> in_flight;
  bool is_send_due = false;
  bool is_timer_active = false;
  bool was_confirmed = false;
  // The configuration whose limits the pool has.
  std::shared_ptr<const model::ProxyConfiguration> limits_of;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_OPERATION_EXCHANGE_H_
