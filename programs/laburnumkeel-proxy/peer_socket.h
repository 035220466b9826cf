#ifndef LABURNUMKEEL_PROGRAMS_PROXY_PEER_SOCKET_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_PEER_SOCKET_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "programs/laburnumkeel-proxy/proxy_context.h"

namespace laburnumkeel::proxy {

// The datagram socket through which this VM exchanges messages with the others.
// Components add a receiver for each kind of message.
class PeerSocket {
 public:
  struct Receiver {
    // Processes a datagram. Returns false when it is of another kind, or cannot
    // be decoded.
    std::function<bool(std::string_view bytes,
                       const boost::asio::ip::udp::endpoint& sender)>
        on_datagram;
    // Called when all datagrams that had arrived were processed; may be empty.
    std::function<void()> on_pass_end;
  };

  explicit PeerSocket(ProxyContext& context);

  // Adds a receiver; before Listen.
  void AddReceiver(Receiver receiver);

  // Binds the peer address of the settings. False when it cannot be used.
  bool Listen();

  // Sends a datagram to `IP:port`. A loss is not reported; senders repeat what
  // matters.
  void SendTo(const std::string& address, const std::string& bytes);
  void Send(const std::string& bytes,
            const boost::asio::ip::udp::endpoint& target);

 private:
  static constexpr std::size_t kMaximumDatagram = 65507;
  // Datagrams and bytes that are read in one pass. Bounds the memory for a
  // burst.
  static constexpr int kMaximumDatagramsPerPass = 2000;
  static constexpr std::size_t kMaximumBytesPerPass = std::size_t{512} << 10;

  void Receive();
  void ReadDatagrams();
  void Dispatch(std::string_view bytes);

  ProxyContext& context;
  std::vector<Receiver> receivers;
  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, kMaximumDatagram> buffer;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_PEER_SOCKET_H_
