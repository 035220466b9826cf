#ifndef LABURNUMKEEL_PROMOTION_CHANGE_PLAN_H_
#define LABURNUMKEEL_PROMOTION_CHANGE_PLAN_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::promotion {

// One endpoint of a service during a change of its primary.
struct ChangeMember {
  std::string id;
  // It has responded since the change began; the fields below hold the
  // response.
  bool has_answered = false;
  bool is_primary = false;
  model::Term term = 0;
  model::LogPosition received;
  // It receives no log entries of terms below this one; 0 when not paused.
  model::Term paused_term = 0;
  // It may become the primary: it is not leaving and its data centre is in use.
  bool is_eligible = true;
  // `received` in the response before the last one.
  model::LogPosition received_before{};

  bool operator==(const ChangeMember&) const = default;
};

struct ChangeView {
  // The registered endpoints of the service, and those that respond although
  // their registration is gone. Others may join at any time.
  std::vector<ChangeMember> members;
  // The primary before the change.
  std::string former;
  // The former primary works and is to be replaced.
  bool is_planned = false;
  // Term of the former primary as published; 0 for the first one.
  model::Term published_term = 0;
  // Term of the new primary: one above all terms known when the change began.
  model::Term next_term = 0;
  // The platform was asked to promote an endpoint, and may do so at any moment.
  bool is_promotion_called = false;
  // Every read lease on the former primary has expired.
  bool read_leases_expired = false;
  // `members` were read from the store after the last of them was paused.
  bool are_members_current = false;
  // Log entries that were on their way when the former primary stepped down
  // have arrived.
  bool is_catch_up_over = false;
  // Commits up to here may have been acknowledged, by what is known of replicas
  // and clients; zero when nothing is.
  model::LogPosition committed{};
  // An endpoint with the commits up to `committed` is no longer waited for.
  bool is_commit_wait_over = false;

  bool operator==(const ChangeView&) const = default;
};

enum class ChangeAction {
  // No step is safe until more endpoints respond or the read leases expire.
  kWait,
  // Stop the endpoint from receiving in the former term.
  kPause,
  // Let the endpoint receive again.
  kResume,
  // Make the former primary, or one of an earlier term, a replica, so that it
  // accepts no further commit.
  kStepDown,
  // Ask the platform to make the endpoint the primary.
  kPromote,
  // The endpoint is the primary in place of the former one: publish it.
  kPublish,
};

// The action's name in log lines.
std::string_view ToString(ChangeAction action);

struct ChangeStep {
  ChangeAction action = ChangeAction::kWait;
  // Id of the endpoint concerned.
  std::string endpoint;

  bool operator==(const ChangeStep&) const = default;
};

// Returns the next step of a change of primary. A commit is acknowledged once
// one replica has received it, and any replica may be that one, also one that
// has joined since the change began. Two things prove that an endpoint holds
// every acknowledged commit:
// - The former primary has stepped down, and the endpoint's log reaches the end
//   of the former primary's log.
// - All these replicas are paused, and the endpoint's log is the longest.
//   It serves when the former primary does not respond.
// Registered endpoints may not be all that acknowledged commits: one may have
// left since. A log that ends before `committed` is therefore not promoted, as
// long as an endpoint with a longer one, such as the crashed primary, may
// return.
ChangeStep NextStep(const ChangeView& view);

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_CHANGE_PLAN_H_
