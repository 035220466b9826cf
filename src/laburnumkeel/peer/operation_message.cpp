#include "laburnumkeel/peer/operation_message.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "laburnumkeel/peer/datagram_codec.h"
#include "laburnumkeel/peer/generated/fleet_types.h"

namespace laburnumkeel::peer {

namespace {

constexpr char kRequestTag = 'Q';
constexpr char kAnswerTag = 'G';

}  // namespace

std::string Encode(const OperationRequest& request) {
  generated::WireOperationRequest wire;
  wire.sequence = request.sequence;
  for (const auto& [account, operations] : request.needs) {
    generated::WireNeed need;
    need.account = account;
    need.operations = operations;
    wire.needs.push_back(std::move(need));
  }
  return detail::Serialize(kRequestTag, wire);
}

std::string Encode(const OperationAnswer& answer) {
  generated::WireOperationAnswer wire;
  wire.sequence = answer.sequence;
  for (const auto& [account, grant] : answer.grants) {
    generated::WireOperationGrant entry;
    entry.account = account;
    entry.operations = grant.operations;
    entry.retry_after_ms = static_cast<std::int32_t>(grant.retry_after.count());
    wire.grants.push_back(std::move(entry));
  }
  return detail::Serialize(kAnswerTag, wire);
}

std::optional<OperationRequest> DecodeOperationRequest(std::string_view bytes) {
  const auto wire =
      detail::Deserialize<generated::WireOperationRequest>(kRequestTag, bytes);
  if (!wire) {
    return std::nullopt;
  }
  OperationRequest request;
  request.sequence = wire->sequence;
  for (const auto& need : wire->needs) {
    request.needs[need.account] = std::max(0, need.operations);
  }
  return request;
}

std::optional<OperationAnswer> DecodeOperationAnswer(std::string_view bytes) {
  const auto wire =
      detail::Deserialize<generated::WireOperationAnswer>(kAnswerTag, bytes);
  if (!wire) {
    return std::nullopt;
  }
  OperationAnswer answer;
  answer.sequence = wire->sequence;
  for (const auto& entry : wire->grants) {
    const std::chrono::milliseconds retry_after(entry.retry_after_ms);
    answer.grants[entry.account] = {
        std::max(0, entry.operations),
        std::clamp(retry_after, std::chrono::milliseconds(0),
                   limits::DelegatePool::kLongestRetry)};
  }
  return answer;
}

}  // namespace laburnumkeel::peer
