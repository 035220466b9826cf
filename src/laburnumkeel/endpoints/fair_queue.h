#ifndef LABURNUMKEEL_ENDPOINTS_FAIR_QUEUE_H_
#define LABURNUMKEEL_ENDPOINTS_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/admission/admission_order.h"
#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::endpoints {

// Identifies a waiting request; unique within its queue.
using Ticket = std::uint64_t;

// Order in which waiting requests are given free connections: that of
// `admission::AdmissionOrder` over the client accounts, first in first out
// within an account. An account that sends many requests therefore delays
// another account by at most one request per free connection. Not thread-safe.
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

  // Number of waiting requests that are given a connection before one of the
  // account that is added now.
  std::size_t Ahead(const std::string& account) const;

 private:
  struct WaitingRequest {
    Ticket ticket;
    kernel::Instant deadline;
  };

  // Waiting requests of each account in order of arrival. No entry is empty.
  std::map<std::string, std::deque<WaitingRequest>> requests_by_account;
  admission::AdmissionOrder order;
  Ticket last_ticket = 0;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_FAIR_QUEUE_H_
