#include "laburnumkeel/endpoints/fair_queue.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::endpoints {

Ticket FairQueue::Add(const std::string& account, kernel::Instant deadline) {
  auto& requests = this->requests_by_account[account];
  if (requests.empty()) {
    this->round_robin.push_back(account);
  }
  requests.push_back(WaitingRequest{++this->last_ticket, deadline});
  return this->last_ticket;
}

std::optional<Ticket> FairQueue::Next(kernel::Instant now) {
  while (!this->round_robin.empty()) {
    const std::string account = std::move(this->round_robin.front());
    this->round_robin.pop_front();
    const auto requests = this->requests_by_account.find(account);
    const std::optional<Ticket> ticket = TakeFirst(requests->second, now);
    if (requests->second.empty()) {
      this->requests_by_account.erase(requests);
    } else {
      this->round_robin.push_back(account);
    }
    if (ticket.has_value()) {
      return ticket;
    }
  }
  return std::nullopt;
}

std::optional<Ticket> FairQueue::TakeFirst(std::deque<WaitingRequest>& requests,
                                           kernel::Instant now) {
  while (!requests.empty()) {
    const WaitingRequest first = requests.front();
    requests.pop_front();
    if (first.deadline > now) {
      return first.ticket;
    }
  }
  return std::nullopt;
}

void FairQueue::Remove(const std::string& account, Ticket ticket) {
  const auto requests = this->requests_by_account.find(account);
  if (requests == this->requests_by_account.end()) {
    return;
  }
  std::erase_if(requests->second, [ticket](const WaitingRequest& request) {
    return request.ticket == ticket;
  });
  if (requests->second.empty()) {
    this->requests_by_account.erase(requests);
    std::erase(this->round_robin, account);
  }
}

std::vector<Ticket> FairQueue::TakeExpired(kernel::Instant now) {
  std::vector<Ticket> expired;
  for (auto& [account, requests] : this->requests_by_account) {
    std::erase_if(requests, [&](const WaitingRequest& request) {
      const bool is_expired = request.deadline <= now;
      if (is_expired) {
        expired.push_back(request.ticket);
      }
      return is_expired;
    });
    if (requests.empty()) {
      std::erase(this->round_robin, account);
    }
  }
  std::erase_if(this->requests_by_account,
                [](const auto& entry) { return entry.second.empty(); });
  return expired;
}

std::vector<Ticket> FairQueue::TakeAll() {
  return this->TakeExpired(kernel::Instant::max());
}

std::size_t FairQueue::Size() const {
  std::size_t size = 0;
  for (const auto& [account, requests] : this->requests_by_account) {
    size += requests.size();
  }
  return size;
}

}  // namespace laburnumkeel::endpoints
