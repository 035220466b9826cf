#ifndef LABURNUMKEEL_TRANSPORT_HTTP_CAUSE_LOG_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_CAUSE_LOG_H_

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/metrics.h"

namespace laburnumkeel::transport {

// Why an HTTP server refused a request, closed a connection or paused.
enum class HttpCause {
  kReceiveTimeout,
  kSendTimeout,
  kRequestTooLarge,
  kNoMemory,
  kStalled,
  kDisplaced,
  kAcceptPaused,
};

// The cause in events and counters, such as `receive_timeout`.
std::string_view ToString(HttpCause cause);

// Counts what a server does about clients, and writes at most one event a
// second and cause, with the count. Thread-safe.
class HttpCauseLog {
 public:
  // `metrics` may be null.
  void SetMetrics(kernel::Metrics* target) { this->metrics = target; }

  void Count(HttpCause cause);

  // Writes the counts of the last second; call it often. `now` must not
  // decrease.
  void Write(kernel::Instant now);

 private:
  static constexpr std::size_t kCauses = 7;

  kernel::Metrics* metrics = nullptr;
  std::mutex mutex;
  std::array<std::uint64_t, kCauses> counts{};
  kernel::Instant written_at{};
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_CAUSE_LOG_H_
