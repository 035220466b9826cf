#include "laburnumkeel/admission/closing_choice.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace laburnumkeel::admission {

using kernel::Instant;

namespace {

// A client that moves at all completes a message or takes an answer in less.
constexpr std::chrono::seconds kMinimumStillness{1};
// Idle sessions without large values hold less. Closing them would not help.
constexpr std::size_t kMuchMemory = std::size_t{32} << 10;

double Burden(const ClientLoad& client, Instant now) {
  const std::chrono::duration<double> still = now - client.last_progress;
  // A connection without any stillness still has the weight of its memory.
  constexpr double kLeastSeconds = 0.001;
  return static_cast<double>(client.held_bytes) *
         std::max(still.count(), kLeastSeconds);
}

bool IsStill(const ClientLoad& client, Instant now) {
  return now >= client.last_progress + kMinimumStillness;
}

}  // namespace

std::vector<std::size_t> ChooseForMemory(const std::vector<ClientLoad>& clients,
                                         std::size_t bytes, Instant now) {
  std::vector<std::size_t> order(clients.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&](std::size_t left, std::size_t right) {
              const ClientLoad& first = clients[left];
              const ClientLoad& second = clients[right];
              if (first.is_at_database != second.is_at_database) {
                return second.is_at_database;
              }
              return Burden(first, now) > Burden(second, now);
            });
  std::size_t freed = 0;
  std::size_t count = 0;
  while (count < order.size() && freed < bytes) {
    freed += clients[order[count]].held_bytes;
    ++count;
  }
  order.resize(count);
  return order;
}

std::optional<std::size_t> ChooseForWaiting(
    const std::vector<ClientLoad>& clients, Instant now) {
  std::optional<std::size_t> chosen;
  for (std::size_t index = 0; index < clients.size(); ++index) {
    const ClientLoad& client = clients[index];
    if (client.is_at_database || client.held_bytes < kMuchMemory ||
        !IsStill(client, now)) {
      continue;
    }
    if (!chosen || Burden(client, now) > Burden(clients[*chosen], now)) {
      chosen = index;
    }
  }
  return chosen;
}

std::optional<std::size_t> ChooseForConnection(
    const std::vector<ClientLoad>& clients, Instant now) {
  std::optional<std::size_t> chosen;
  for (std::size_t index = 0; index < clients.size(); ++index) {
    const ClientLoad& client = clients[index];
    if (client.is_at_work || (client.is_started && !IsStill(client, now))) {
      continue;
    }
    if (!chosen) {
      chosen = index;
      continue;
    }
    const ClientLoad& best = clients[*chosen];
    const bool is_better = client.is_started == best.is_started
                               ? client.last_progress < best.last_progress
                               : best.is_started;
    if (is_better) {
      chosen = index;
    }
  }
  return chosen;
}

}  // namespace laburnumkeel::admission
