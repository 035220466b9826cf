#include "laburnumkeel/peer/connection_message.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

#include "laburnumkeel/peer/datagram_codec.h"
#include "laburnumkeel/peer/generated/connections_types.h"

namespace laburnumkeel::peer {

using std::chrono::milliseconds;

namespace {

// First byte of a datagram.
constexpr char kConnectionReportTag = 'C';
constexpr char kConnectionAnswerTag = 'L';
// No VM has as many connections to one endpoint; a higher number in a message
// is an error of its sender.
constexpr std::int32_t kMaximumCount = 100'000;

std::int32_t ToWire(milliseconds time) {
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(
      time.count(), 0, std::numeric_limits<std::int32_t>::max()));
}

milliseconds FromWire(std::int32_t time) {
  return milliseconds(std::max(time, 0));
}

bool IsCount(std::int32_t number) {
  return number >= 0 && number <= kMaximumCount;
}

}  // namespace

std::string Encode(const routing::ConnectionReport& report) {
  generated::WireConnectionReport wire;
  wire.vm = report.vm;
  wire.endpoint = report.endpoint_id;
  wire.sequence = report.sequence;
  wire.held = report.held;
  wire.wanted = report.wanted;
  wire.priority = report.priority;
  wire.time_left_ms = ToWire(report.time_left);
  wire.refused = report.was_refused;
  return detail::Serialize(kConnectionReportTag, wire);
}

std::string Encode(const routing::ConnectionAnswer& answer) {
  generated::WireConnectionAnswer wire;
  wire.endpoint = answer.endpoint_id;
  wire.sequence = answer.sequence;
  wire.allowed = answer.allowed;
  wire.wait_ms = ToWire(answer.expected_wait);
  wire.idle_ms = ToWire(answer.idle_time);
  return detail::Serialize(kConnectionAnswerTag, wire);
}

std::optional<routing::ConnectionReport> DecodeConnectionReport(
    std::string_view bytes) {
  const auto wire = detail::Deserialize<generated::WireConnectionReport>(
      kConnectionReportTag, bytes);
  if (!wire || !IsCount(wire->held) || !IsCount(wire->wanted)) {
    return std::nullopt;
  }
  routing::ConnectionReport report;
  report.vm = wire->vm;
  report.endpoint_id = wire->endpoint;
  report.sequence = wire->sequence;
  report.held = wire->held;
  report.wanted = wire->wanted;
  report.priority = wire->priority;
  report.time_left = FromWire(wire->time_left_ms);
  report.was_refused = wire->refused;
  return report;
}

std::optional<routing::ConnectionAnswer> DecodeConnectionAnswer(
    std::string_view bytes) {
  const auto wire = detail::Deserialize<generated::WireConnectionAnswer>(
      kConnectionAnswerTag, bytes);
  if (!wire || !IsCount(wire->allowed)) {
    return std::nullopt;
  }
  routing::ConnectionAnswer answer;
  answer.endpoint_id = wire->endpoint;
  answer.sequence = wire->sequence;
  answer.allowed = wire->allowed;
  answer.expected_wait = FromWire(wire->wait_ms);
  answer.idle_time = FromWire(wire->idle_ms);
  return answer;
}

}  // namespace laburnumkeel::peer
