#ifndef LABURNUMKEEL_PEER_OPERATION_MESSAGE_H_
#define LABURNUMKEEL_PEER_OPERATION_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumkeel/limits/delegate_pool.h"

namespace laburnumkeel::peer {

// A VM's request to a delegate for operations of accounts.
struct OperationRequest {
  // Increases with each request of a process.
  std::int64_t sequence = 0;
  // Operations that wait, by account.
  std::map<std::string, int> needs;

  bool operator==(const OperationRequest&) const = default;
};

// The delegate's answer to the request with the same sequence.
struct OperationAnswer {
  std::int64_t sequence = 0;
  std::map<std::string, limits::DelegateGrant> grants;

  bool operator==(const OperationAnswer&) const = default;
};

std::string Encode(const OperationRequest& request);
std::string Encode(const OperationAnswer& answer);

// Empty when the bytes are not a valid message of that type.
std::optional<OperationRequest> DecodeOperationRequest(std::string_view bytes);
std::optional<OperationAnswer> DecodeOperationAnswer(std::string_view bytes);

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_OPERATION_MESSAGE_H_
