#ifndef LABURNUMKEEL_PEER_THRIFT_ADDRESS_H_
#define LABURNUMKEEL_PEER_THRIFT_ADDRESS_H_

#include <string>

namespace laburnumkeel::peer {

// IP number and port of a Thrift server.
struct ThriftAddress {
  std::string ip;
  int port = 0;

  bool operator==(const ThriftAddress&) const = default;
};

// Splits `IP:port`; the settings or the validation must have checked it.
ThriftAddress ParseThriftAddress(const std::string& address);

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_THRIFT_ADDRESS_H_
