#ifndef LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_
#define LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// What one VM knows about an endpoint that can serve a read.
struct ReadCandidate {
  bool is_primary = false;
  bool is_in_own_data_centre = false;
  bool is_in_own_region = false;
  // The endpoint recently refused a statement, failed or did not respond.
  bool is_suspended = false;
  // Smoothed time from sending a statement to its response, in milliseconds.
  double response_ms = 0;
  // Statements of this VM that are queued for the endpoint or run on it.
  int outstanding = 0;
  // Statements that the endpoint runs concurrently.
  int slots = 1;

  bool operator==(const ReadCandidate&) const = default;
};

// A statement that is queued for a connection to an endpoint.
struct WaitingStatement {
  std::string account;
  // 0 is the highest.
  int priority = 0;
  kernel::Instant arrived;

  bool operator==(const WaitingStatement&) const = default;
};

// Index of the statement that an idle connection of `account` runs next; empty
// if none of that account is waiting, or if it is another account's turn.
//
// Load pattern: there are more waiting statements, and more accounts, than
// connections, for example when the replicas lag and all reads go to the
// primary. A connection for another account has to be opened, which occupies a
// slot of the endpoint for half the time of a statement. Statements of the same
// account therefore run first, unless one of another account arrived more than
// `fairness_window` earlier.
std::optional<std::size_t> ChooseForConnection(
    const std::vector<WaitingStatement>& waiting, const std::string& account,
    kernel::Duration fairness_window);

// Index of the candidate with the lowest cost for a read; empty without
// candidates.
//
// Load pattern: most statements are reads, which every endpoint can serve,
// while writes can only run on the primary. The primary therefore costs more
// than a replica with the same response time. Endpoints in another data centre
// or region cost more than local ones, because traffic to them is charged for.
std::optional<std::size_t> ChooseForRead(
    const std::vector<ReadCandidate>& candidates);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_
