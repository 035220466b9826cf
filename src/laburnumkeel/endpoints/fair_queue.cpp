#include "laburnumkeel/endpoints/fair_queue.h"

#include <algorithm>
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
  while (!this->turns.empty()) {
    const std::string account = std::move(this->turns.front());
    this->turns.pop_front();
    const auto requests = this->waiting.find(account);
    const std::optional<Ticket> ticket = TakeFirst(requests->second, now);
    if (requests->second.empty()) {
      this->waiting.erase(requests);
    } else {
      this->turns.push_back(account);
    }
    if (ticket.has_value()) {
      return ticket;
    }
  }
  return std::nullopt;
}

std::optional<Ticket> FairQueue::TakeFirst(std::deque<Waiting>& requests,
                                           kernel::Instant now) {
  while (!requests.empty()) {
    const Waiting first = requests.front();
    requests.pop_front();
    if (first.deadline > now) {
      return first.ticket;
    }
  }
  return std::nullopt;
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
  return this->TakeExpired(kernel::Instant::max());
}

std::size_t FairQueue::Size() const {
  std::size_t size = 0;
  for (const auto& [account, requests] : this->waiting) {
    size += requests.size();
  }
  return size;
}

}  // namespace laburnumkeel::endpoints
