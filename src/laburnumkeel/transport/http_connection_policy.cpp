#include "laburnumkeel/transport/http_connection_policy.h"

#include <chrono>
#include <tuple>

namespace laburnumkeel::transport {

namespace {

constexpr std::chrono::seconds kStalledTime{1};

bool IsMoving(const HttpConnectionState& state) {
  return state.phase == HttpConnectionPhase::kReceiving ||
         state.phase == HttpConnectionPhase::kSending;
}

// Smaller for connections that are closed earlier.
int KindForConnection(const HttpConnectionState& state, kernel::Instant now) {
  const bool is_served = state.answered > 0;
  if (state.phase == HttpConnectionPhase::kIdle) {
    return is_served ? 2 : 0;
  }
  return !is_served && now - state.phase_since >= kStalledTime ? 1 : 3;
}

auto RankForConnection(const HttpConnectionState& state, kernel::Instant now) {
  return std::tuple(KindForConnection(state, now), state.phase_since,
                    state.number);
}

}  // namespace

std::optional<HttpConnectionFault> FindFault(const HttpConnectionState& state,
                                             const HttpConnectionLimits& limits,
                                             kernel::Instant now) {
  const kernel::Duration elapsed = now - state.phase_since;
  if (state.phase == HttpConnectionPhase::kReceiving) {
    if (state.received_bytes > limits.maximum_request_bytes) {
      return HttpConnectionFault::kRequestTooLarge;
    }
    if (elapsed >= limits.receive_timeout) {
      return HttpConnectionFault::kReceiveTimeout;
    }
  }
  if (state.phase == HttpConnectionPhase::kSending &&
      elapsed >= limits.send_timeout) {
    return HttpConnectionFault::kSendTimeout;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> ChooseForConnection(
    std::span<const HttpConnectionState> connections, kernel::Instant now) {
  const HttpConnectionState* chosen = nullptr;
  for (const HttpConnectionState& state : connections) {
    if (state.phase == HttpConnectionPhase::kClosing) {
      return std::nullopt;
    }
    if (state.phase != HttpConnectionPhase::kHandling &&
        (chosen == nullptr ||
         RankForConnection(state, now) < RankForConnection(*chosen, now))) {
      chosen = &state;
    }
  }
  return chosen == nullptr ? std::nullopt : std::optional(chosen->number);
}

std::optional<std::uint64_t> ChooseForMemory(
    std::span<const HttpConnectionState> connections, kernel::Instant now) {
  std::optional<std::uint64_t> chosen;
  double highest = 0;
  for (const HttpConnectionState& state : connections) {
    const kernel::Duration elapsed = now - state.phase_since;
    if (!IsMoving(state) || elapsed < kStalledTime) {
      continue;
    }
    const double weight = static_cast<double>(state.held_bytes) *
                          std::chrono::duration<double>(elapsed).count();
    if (weight > highest) {
      highest = weight;
      chosen = state.number;
    }
  }
  return chosen;
}

}  // namespace laburnumkeel::transport
