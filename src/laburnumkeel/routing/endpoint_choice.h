#ifndef LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_
#define LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/admission/waiting_request.h"
#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// What one VM knows about an endpoint that can run a statement.
struct EndpointCandidate {
  bool is_primary = false;
  bool is_in_own_data_centre = false;
  bool is_in_own_region = false;
  // The endpoint was lost or is ejected for its failures.
  bool is_suspended = false;
  // Time from sending a statement to its response, with the wait for commits
  // that a replica lacks, in milliseconds.
  double response_ms = 0;
  // Time until a connection can be had, in milliseconds.
  double connection_wait_ms = 0;
  // Mean time that an attempt lost through a refusal, a failure or a missing
  // response, in milliseconds.
  double loss_ms = 0;
  // Statements of this VM that are queued for the endpoint or run on it.
  int outstanding = 0;
  // Statements that the endpoint runs concurrently.
  int slots = 1;

  bool operator==(const EndpointCandidate&) const = default;
};

// Expected time until the endpoint's response to one more statement, in
// milliseconds.
double ExpectedCompletionMs(const EndpointCandidate& candidate);

// Index of the statement that an idle connection of `account` runs next; empty
// if none of that account is waiting, or if it is another account's turn.
// `ranked` holds the indices of `waiting` in the order of admission.
//
// Load pattern: there are more waiting statements, and more accounts, than
// connections, for example when the replicas lag and all reads go to the
// primary. A connection for another account has to be opened, which occupies a
// slot of the endpoint for half the time of a statement. Statements of the same
// account therefore run first, unless one of another account that is ahead in
// the order arrived more than `fairness_window` earlier, or is more urgent and
// has waited for longer than that.
std::optional<std::size_t> ChooseForConnection(
    const std::vector<admission::WaitingRequest>& waiting,
    const std::vector<std::size_t>& ranked, const std::string& account,
    kernel::Duration fairness_window, kernel::Instant now);

// Index of the candidate with the lowest cost for a read; empty without
// candidates. `objective_ms` is the time left until the read is late.
//
// Load pattern: most statements are reads, which every endpoint can serve,
// while writes can only run on the primary. The primary therefore costs more
// than a replica with the same expected completion, and far more while it
// loses attempts: then its slots are needed by what cannot run elsewhere.
// Endpoints in another data centre or region cost more than local ones, because
// traffic to them is charged for; this counts only among endpoints that are
// expected to respond in time.
std::optional<std::size_t> ChooseForRead(
    const std::vector<EndpointCandidate>& candidates, double objective_ms);

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_ENDPOINT_CHOICE_H_
