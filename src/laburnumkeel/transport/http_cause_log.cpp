#include "laburnumkeel/transport/http_cause_log.h"

#include <chrono>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/transport/events.h"

namespace laburnumkeel::transport {

namespace {

constexpr std::chrono::seconds kInterval{1};

}  // namespace

std::string_view ToString(HttpCause cause) {
  switch (cause) {
    case HttpCause::kReceiveTimeout:
      return "receive_timeout";
    case HttpCause::kSendTimeout:
      return "send_timeout";
    case HttpCause::kRequestTooLarge:
      return "request_too_large";
    case HttpCause::kNoMemory:
      return "no_memory";
    case HttpCause::kStalled:
      return "stalled";
    case HttpCause::kDisplaced:
      return "displaced";
    case HttpCause::kAcceptPaused:
      return "accept_paused";
  }
  return "unknown";
}

void HttpCauseLog::Count(HttpCause cause) {
  if (this->metrics != nullptr) {
    this->metrics->Count("http_" + std::string(ToString(cause)) + "_total");
  }
  const std::lock_guard lock(this->mutex);
  ++this->counts.at(static_cast<std::size_t>(cause));
}

void HttpCauseLog::Write(kernel::Instant now) {
  std::array<std::uint64_t, kCauses> last{};
  {
    const std::lock_guard lock(this->mutex);
    if (now - this->written_at < kInterval) {
      return;
    }
    this->written_at = now;
    last = std::exchange(this->counts, {});
  }
  for (std::size_t index = 0; index < last.size(); ++index) {
    if (last.at(index) > 0) {
      kernel::LogEvent(kHttpClientLimited,
                       {{"cause", ToString(static_cast<HttpCause>(index))},
                        {"count", last.at(index)}});
    }
  }
}

}  // namespace laburnumkeel::transport
