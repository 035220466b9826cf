#include "laburnumkeel/peer/thrift_address.h"

#include <cstdlib>

namespace laburnumkeel::peer {

ThriftAddress ParseThriftAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return ThriftAddress{address, 0};
  }
  return ThriftAddress{address.substr(0, colon),
                       std::atoi(address.c_str() + colon + 1)};
}

}  // namespace laburnumkeel::peer
