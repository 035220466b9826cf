#ifndef LABURNUMKEEL_PEER_CONNECTION_MESSAGE_H_
#define LABURNUMKEEL_PEER_CONNECTION_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/routing/connection_ledger.h"

// Datagrams between a VM and the lender of an endpoint's connections, encoded
// with Thrift.
namespace laburnumkeel::peer {

std::string Encode(const routing::ConnectionReport& report);
std::string Encode(const routing::ConnectionAnswer& answer);

// Empty when the bytes are not a valid message of that type.
std::optional<routing::ConnectionReport> DecodeConnectionReport(
    std::string_view bytes);
std::optional<routing::ConnectionAnswer> DecodeConnectionAnswer(
    std::string_view bytes);

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_CONNECTION_MESSAGE_H_
