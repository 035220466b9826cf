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

  bool operator==(const ChangeMember&) const = default;
};

struct ChangeView {
  // All endpoints that may hold an acknowledged commit.
  std::vector<ChangeMember> members;
  // The primary before the change.
  std::string former;
  // The former primary works and is to be replaced.
  bool is_planned = false;
  // Term of the new primary: above all terms known when the change began.
  model::Term next_term = 0;
  // Every read lease on the former primary has expired.
  bool read_leases_expired = false;

  bool operator==(const ChangeView&) const = default;
};

enum class ChangeAction {
  // No step is safe until more endpoints respond or the read leases expire.
  kWait,
  // Stop the endpoint from receiving in the former term.
  kPause,
  // Let the endpoint receive again.
  kResume,
  // Ask the platform to make the endpoint the primary.
  kPromote,
  // The endpoint is the primary of the new term: publish it.
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
// one replica has received it, so it may exist only on the former primary and
// one replica. An endpoint is promoted when it is paused, no other replica can
// still confirm a commit of the former term, and its log is at least as long as
// every log that may hold an acknowledged commit.
//
// In a planned change, the replica that does not become the primary is paused
// first: the one that does then confirms every later commit, while writes
// continue.
ChangeStep NextStep(const ChangeView& view);

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_CHANGE_PLAN_H_
