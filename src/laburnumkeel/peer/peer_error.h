#ifndef LABURNUMKEEL_PEER_PEER_ERROR_H_
#define LABURNUMKEEL_PEER_PEER_ERROR_H_

#include <string>

namespace laburnumkeel::peer {

// A Thrift call that got no usable response.
struct PeerError {
  std::string address;
  std::string message;

  bool operator==(const PeerError&) const = default;
};

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_PEER_ERROR_H_
