#ifndef LABURNUMKEEL_ENDPOINTS_FAIR_QUEUE_H_
#define LABURNUMKEEL_ENDPOINTS_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::endpoints {

// Identifies a waiting request; unique within its queue.
using Ticket = std::uint64_t;

// Order in which waiting requests are given free connections: round-robin over
// the client accounts, first in first out within an account. An account that
// sends many requests therefore delays another account by at most one request
// per free connection. Not thread-safe.
class FairQueue {
 public:
  Ticket Add(const std::string& account, kernel::Instant deadline);

  // Removes and returns the next request. Requests whose deadline has been
  // reached are dropped and never returned.
  std::optional<Ticket> Next(kernel::Instant now);

  // Removes a request; does nothing if it is no longer in the queue.
  void Remove(const std::string& account, Ticket ticket);

  // Removes and returns all requests whose deadline has been reached.
  std::vector<Ticket> TakeExpired(kernel::Instant now);

  // Removes and returns all requests.
  std::vector<Ticket> TakeAll();

  std::size_t Size() const;

 private:
  struct WaitingRequest {
    Ticket ticket;
    kernel::Instant deadline;
  };

  // Removes and returns the first request whose deadline has not been reached,
  // and drops the expired requests before it.
  static std::optional<Ticket> TakeFirst(std::deque<WaitingRequest>& requests,
                                         kernel::Instant now);

  // Waiting requests of each account in order of arrival. No entry is empty.
  std::map<std::string, std::deque<WaitingRequest>> requests_by_account;
  // Accounts with waiting requests; the first is served next.
  std::deque<std::string> round_robin;
  Ticket last_ticket = 0;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_FAIR_QUEUE_H_
