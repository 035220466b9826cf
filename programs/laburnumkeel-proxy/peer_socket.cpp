#include "programs/laburnumkeel-proxy/peer_socket.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/transport/socket_address.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

using boost::asio::ip::udp;
using kernel::LogEvent;

PeerSocket::PeerSocket(ProxyContext& context)
    : context(context), socket(context.loop) {}

void PeerSocket::AddReceiver(Receiver receiver) {
  this->receivers.push_back(std::move(receiver));
}

bool PeerSocket::Listen() {
  const auto address =
      transport::ParseSocketAddress(this->context.settings.PeerAddress());
  if (!address) {
    return false;
  }
  const udp::endpoint own(address->address(), address->port());
  boost::system::error_code error;
  this->socket.open(own.protocol(), error);
  this->socket.bind(own, error);
  if (error) {
    return false;
  }
  this->socket.non_blocking(true, error);
  this->Receive();
  return true;
}

void PeerSocket::Receive() {
  this->socket.async_wait(
      udp::socket::wait_read, [this](boost::system::error_code error) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        try {
          this->ReadDatagrams();
          for (const Receiver& receiver : this->receivers) {
            if (receiver.on_pass_end) {
              receiver.on_pass_end();
            }
          }
        } catch (const std::exception& failure) {
          // A VM without an answer repeats its message.
          this->context.metrics.Count("datagrams_failed");
          LogEvent(kHandlerThrew, {{"reason", failure.what()}});
        }
        this->Receive();
      });
}

void PeerSocket::ReadDatagrams() {
  std::size_t bytes = 0;
  for (int count = 0;
       count < kMaximumDatagramsPerPass && bytes < kMaximumBytesPerPass;
       ++count) {
    boost::system::error_code error;
    const std::size_t size = this->socket.receive_from(
        boost::asio::buffer(this->buffer), this->sender, 0, error);
    if (error) {
      // Nothing is left to read, or the error of an earlier send is reported;
      // the latter is counted where messages go unanswered.
      return;
    }
    bytes += size;
    this->Dispatch(std::string_view(this->buffer.data(), size));
  }
}

void PeerSocket::Dispatch(std::string_view bytes) {
  const bool is_known = std::any_of(
      this->receivers.begin(), this->receivers.end(),
      [&](const auto& r) { return r.on_datagram(bytes, this->sender); });
  if (is_known) {
    return;
  }
  this->context.metrics.Count("datagrams_malformed");
  this->context.request_log.Write(
      kDatagramIgnored, this->context.clock.Now(),
      {{"sender", this->sender.address().to_string()},
       {"bytes", bytes.size()}});
}

void PeerSocket::SendTo(const std::string& address, const std::string& bytes) {
  if (const auto parsed = transport::ParseSocketAddress(address)) {
    this->Send(bytes, udp::endpoint(parsed->address(), parsed->port()));
  }
}

void PeerSocket::Send(const std::string& bytes, const udp::endpoint& target) {
  boost::system::error_code error;
  this->socket.send_to(boost::asio::buffer(bytes), target, 0, error);
  if (error) {
    // No retry: the next message repeats what was lost.
    this->context.metrics.Count("datagrams_not_sent");
  }
}

}  // namespace laburnumkeel::proxy
