#include "laburnumkeel/endpoints/fair_queue.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::endpoints {

Ticket FairQueue::Add(const std::string& account, kernel::Instant deadline) {
  this->requests_by_account[account].push_back(
      WaitingRequest{++this->last_ticket, deadline});
  return this->last_ticket;
}

std::optional<Ticket> FairQueue::Next(kernel::Instant now) {
  this->TakeExpired(now);
  if (this->requests_by_account.empty()) {
    return std::nullopt;
  }
  // The first request of each account. Tickets stand for the order of arrival;
  // requests of this front have no priority and no objective but the deadline.
  std::vector<admission::WaitingRequest> first;
  for (const auto& [account, requests] : this->requests_by_account) {
    first.push_back(
        {account, 0,
         kernel::Instant(kernel::Duration(
             static_cast<kernel::Duration::rep>(requests.front().ticket))),
         kernel::Instant::max(), requests.front().deadline, false});
  }
  const std::size_t chosen =
      this->order.Rank(first, now, kernel::Duration(0)).front();
  const auto requests = this->requests_by_account.find(first[chosen].account);
  this->order.OnServed(first[chosen], {});
  const Ticket ticket = requests->second.front().ticket;
  requests->second.pop_front();
  if (requests->second.empty()) {
    this->requests_by_account.erase(requests);
  }
  return ticket;
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

std::size_t FairQueue::Ahead(const std::string& account) const {
  const auto own = this->requests_by_account.find(account);
  const std::size_t turns =
      own == this->requests_by_account.end() ? 1 : own->second.size() + 1;
  std::size_t ahead = 0;
  for (const auto& [other, requests] : this->requests_by_account) {
    ahead +=
        other == account ? requests.size() : std::min(requests.size(), turns);
  }
  return ahead;
}

}  // namespace laburnumkeel::endpoints
