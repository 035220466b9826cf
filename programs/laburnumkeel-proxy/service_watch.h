#ifndef LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_WATCH_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_WATCH_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/promotion/change_plan.h"

namespace laburnumkeel::proxy {

// A change of a service's primary in progress.
struct ServiceChange {
  bool is_planned = false;
  // The primary is only suspected to have failed: the change is announced, but
  // nothing is paused yet, and it is cancelled when the primary responds.
  bool is_cancellable = false;
  model::Term next_term = 0;
  kernel::Instant started;
  // When all read leases obtained before the announcement have expired; empty
  // until the announcement is written to the store.
  std::optional<kernel::Instant> read_leases_expire_at;
  bool is_announcing = false;
  bool is_promotion_pending = false;
  bool is_publishing = false;
  // Endpoint that the platform was requested to promote; empty without one.
  std::string promotion_target;
  // The platform takes some time to carry out an accepted call.
  kernel::Instant promotion_retry_at;
  std::map<std::string, promotion::ChangeMember> members;
  // When the VMs that are in touch with the leader know that the former primary
  // is lost; empty until that is written to the store.
  std::optional<kernel::Instant> loss_known_at;
  // Since when all known replicas are paused; empty while one is not.
  std::optional<kernel::Instant> all_paused_since;
  // When the former primary first responded as a replica.
  std::optional<kernel::Instant> stepped_down_at;
  std::map<std::string, kernel::Instant> queried_at;
  promotion::ChangeStep last_step;
  // After how long it is logged next that the change cannot proceed.
  std::chrono::milliseconds held_notice{5000};
};

// A question to all endpoints of a service which of them is the primary. Those
// that claim to be are asked last, so that their logs are not behind for having
// replied earlier.
struct ClaimRound {
  // When the last round began; zero before the first one.
  kernel::Instant started;
  // Endpoints that have not replied yet, and those to be asked after them.
  std::set<std::string> pending;
  std::set<std::string> claimants;
  // What was known to be committed when the claimants were asked.
  model::LogPosition committed;
  std::vector<promotion::ChangeMember> members;
  // When the first round began without a published primary.
  std::optional<kernel::Instant> waiting_since;
};

// The leader's view of a service's primary.
struct ServiceWatch {
  kernel::Instant last_response;
  kernel::Instant queried_at;
  bool is_query_pending = false;
  // The endpoint published as the primary reports the replica role, or its
  // process has restarted.
  bool has_lost_primary_role = false;
  model::Term term = 0;
  bool is_publishing = false;
  std::optional<ServiceChange> change;
  ClaimRound claims;
  // Endpoints that have replied as replicas since the primary was published. A
  // replica does not become a primary without being published.
  std::set<std::string> replicas;
  // When each replica was last queried for its replication lag.
  std::map<std::string, kernel::Instant> replica_queried_at;
  // When the list of endpoints was written last, and whether the answer is
  // awaited.
  kernel::Instant members_written_at;
  bool is_writing_members = false;
  // When the first unanswered query of each silent endpoint timed out.
  std::map<std::string, kernel::Instant> silent_since;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_WATCH_H_
