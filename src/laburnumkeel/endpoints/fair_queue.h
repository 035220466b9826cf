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

// Names a waiting request; unique within its queue.
using Ticket = std::uint64_t;

// Order in which waiting requests get free connections: round-robin over the
// client accounts, first in first out within an account. An account that sends
// many requests therefore delays another one by at most one request for each
// free connection. Not thread-safe.
class FairQueue {
 public:
  Ticket Add(const std::string& account, kernel::Instant deadline);

  // Takes the next request out of the queue. Requests whose deadline has been
  // reached are never returned.
  std::optional<Ticket> Next(kernel::Instant now);

  // Takes a request out of the queue; does nothing when it has left already.
  void Remove(const std::string& account, Ticket ticket);

  // Takes out all requests whose deadline has been reached.
  std::vector<Ticket> TakeExpired(kernel::Instant now);

  // Takes out all requests.
  std::vector<Ticket> TakeAll();

  std::size_t Size() const;

 private:
  struct Waiting {
    Ticket ticket;
    kernel::Instant deadline;
  };

  // The first request whose deadline has not been reached.
  static std::optional<Ticket> TakeFirst(std::deque<Waiting>& requests,
                                         kernel::Instant now);

  // Waiting requests of each account in order of arrival, none empty.
  std::map<std::string, std::deque<Waiting>> waiting;
  // Accounts with waiting requests; the first is served next.
  std::deque<std::string> turns;
  Ticket last_ticket = 0;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_FAIR_QUEUE_H_
