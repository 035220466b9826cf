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
  // It answered since the change began; the fields below are from then.
  bool has_answered = false;
  bool is_primary = false;
  model::Term term = 0;
  model::LogPosition received;
  // It receives nothing of terms below this one; 0: it receives.
  model::Term paused_term = 0;
  // It may lead: it stays, and its data centre is in use.
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
  // No VM can rely on the former primary any more.
  bool read_leases_expired = false;

  bool operator==(const ChangeView&) const = default;
};

enum class ChangeAction {
  // Nothing can be done before more is known.
  kWait,
  // Stop the endpoint from receiving in the former term.
  kPause,
  // Let the endpoint receive again.
  kResume,
  // Ask the platform to make the endpoint the primary.
  kPromote,
  // The endpoint leads: publish it.
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

// The next step of a change of primary. A commit is acknowledged once one
// replica has received it, so a commit may be held by the former primary and
// any one replica only. An endpoint is promoted when it is paused, no other
// replica can still confirm a commit of the former term, and its log is at
// least as long as all logs that may hold an acknowledged commit.
//
// Planned: the replica that does not take over is paused first, so that every
// later commit is confirmed by the one that does, while writes go on.
ChangeStep NextStep(const ChangeView& view);

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_CHANGE_PLAN_H_
