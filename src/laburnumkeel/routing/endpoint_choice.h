#ifndef LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_
#define LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// What one VM knows about an endpoint that may serve a read.
struct ReadCandidate {
  bool is_primary = false;
  bool is_in_own_data_centre = false;
  bool is_in_own_region = false;
  // It recently refused, failed or did not answer.
  bool is_suspended = false;
  // Smoothed time from sending a statement to its answer, in milliseconds.
  double answer_ms = 0;
  // Statements of this VM that wait for it or run on it.
  int outstanding = 0;
  // Statements that it runs at the same time.
  int slots = 1;

  bool operator==(const ReadCandidate&) const = default;
};

// A statement that waits for a connection to an endpoint.
struct WaitingStatement {
  std::string account;
  // 0 is the highest.
  int priority = 0;
  kernel::Instant arrived;

  bool operator==(const WaitingStatement&) const = default;
};

// Index of the statement that a free connection of `account` serves next; empty
// when none of that account waits.
//
// Load pattern: more statements than connections, of more accounts than
// connections, as when the replicas are behind and all reads go to the primary.
// Another account needs a new connection, which takes a slot of the endpoint
// for as long as half a statement, so statements of the same account go first,
// unless one of another account arrived earlier by more than `patience`.
std::optional<std::size_t> ChooseForConnection(
    const std::vector<WaitingStatement>& waiting, const std::string& account,
    kernel::Duration patience);

// Index of the candidate for a read; empty without candidates.
//
// Load pattern: reads make up most of the load and every endpoint can serve
// them, while writes can only use the primary. The primary therefore costs
// more than a replica of the same delay, and another data centre or region
// costs more than the own one, since its traffic is paid for.
std::optional<std::size_t> ChooseForRead(
    const std::vector<ReadCandidate>& candidates);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_
