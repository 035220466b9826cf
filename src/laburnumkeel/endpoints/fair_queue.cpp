#include "laburnumkeel/endpoints/fair_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace laburnumkeel::endpoints {

Ticket FairQueue::Add(const std::string& account, kernel::Instant deadline) {
  auto& requests = this->waiting[account];
  if (requests.empty()) {
    this->turns.push_back(account);
  }
  requests.push_back(Waiting{++this->last_ticket, deadline});
  return this->last_ticket;
}

std::optional<Ticket> FairQueue::Next(kernel::Instant now) {
  this->TakeExpired(now);
  if (this->turns.empty()) {
    return std::nullopt;
  }
  const std::string account = std::move(this->turns.front());
  this->turns.pop_front();
  const auto requests = this->waiting.find(account);
  const Ticket ticket = requests->second.front().ticket;
  requests->second.pop_front();
  if (requests->second.empty()) {
    this->waiting.erase(requests);
  } else {
    this->turns.push_back(account);
  }
  return ticket;
}

void FairQueue::Remove(const std::string& account, Ticket ticket) {
  const auto requests = this->waiting.find(account);
  if (requests == this->waiting.end()) {
    return;
  }
  std::erase_if(requests->second, [ticket](const Waiting& request) {
    return request.ticket == ticket;
  });
  if (requests->second.empty()) {
    this->waiting.erase(requests);
    std::erase(this->turns, account);
  }
}

std::vector<Ticket> FairQueue::TakeExpired(kernel::Instant now) {
  std::vector<Ticket> expired;
  for (auto& [account, requests] : this->waiting) {
    std::erase_if(requests, [&](const Waiting& request) {
      const bool is_expired = request.deadline <= now;
      if (is_expired) {
        expired.push_back(request.ticket);
      }
      return is_expired;
    });
    if (requests.empty()) {
      std::erase(this->turns, account);
    }
  }
  std::erase_if(this->waiting,
                [](const auto& entry) { return entry.second.empty(); });
  return expired;
}

std::vector<Ticket> FairQueue::TakeAll() {
  return this->TakeExpired(
      kernel::Instant(kernel::Duration(std::numeric_limits<int64_t>::max())));
}

std::size_t FairQueue::Size() const {
  std::size_t size = 0;
  for (const auto& [account, requests] : this->waiting) {
    size += requests.size();
  }
  return size;
}

}  // namespace laburnumkeel::endpoints
