#include "laburnumkeel/promotion/change_plan.h"

#include <algorithm>

namespace laburnumkeel::promotion {

namespace {

bool IsPaused(const ChangeMember& member, const ChangeView& view) {
  return member.has_answered && member.paused_term >= view.next_term;
}

std::vector<const ChangeMember*> Replicas(const ChangeView& view) {
  std::vector<const ChangeMember*> replicas;
  for (const ChangeMember& member : view.members) {
    if (member.id != view.former) {
      replicas.push_back(&member);
    }
  }
  return replicas;
}

const ChangeMember* FindFormer(const ChangeView& view) {
  const auto found = std::find_if(
      view.members.begin(), view.members.end(),
      [&](const ChangeMember& member) { return member.id == view.former; });
  return found == view.members.end() ? nullptr : &*found;
}

// Prefers longer logs, then endpoints that may become the primary, then the
// lower id for a stable order.
bool IsBetter(const ChangeMember& left, const ChangeMember& right) {
  if (left.received != right.received) {
    return left.received > right.received;
  }
  if (left.is_eligible != right.is_eligible) {
    return left.is_eligible;
  }
  return left.id < right.id;
}

// The best replica among those that have responded; null without one.
template <class Predicate>
const ChangeMember* FindBest(const ChangeView& view, Predicate is_suitable) {
  const ChangeMember* best = nullptr;
  for (const ChangeMember* member : Replicas(view)) {
    if (member->has_answered && is_suitable(*member) &&
        (best == nullptr || IsBetter(*member, *best))) {
      best = member;
    }
  }
  return best;
}

bool IsEligible(const ChangeMember& member) { return member.is_eligible; }

ChangeStep PromoteAfterLeases(const ChangeView& view,
                              const ChangeMember* member) {
  if (member == nullptr || !view.read_leases_expired) {
    return {};
  }
  return {ChangeAction::kPromote, member->id};
}

// True when no replica that has responded has a longer log.
bool HasLongestLog(const ChangeMember& primary, const ChangeView& view) {
  return std::none_of(view.members.begin(), view.members.end(),
                      [&](const ChangeMember& member) {
                        return member.has_answered && !member.is_primary &&
                               member.received > primary.received;
                      });
}

// The endpoint that is the primary in place of the former one: a promotion,
// also one by an earlier leader, has made it the primary of a later term, or
// the former primary has restarted under another id. Null without one.
const ChangeMember* FindSuccessor(const ChangeView& view) {
  const ChangeMember* newest = nullptr;
  for (const ChangeMember& member : view.members) {
    if (member.has_answered && member.is_primary &&
        (newest == nullptr || member.term > newest->term)) {
      newest = &member;
    }
  }
  if (newest == nullptr) {
    return nullptr;
  }
  if (newest->id == view.former) {
    // The former primary is promoted again only by this change.
    return newest->term >= view.next_term ? newest : nullptr;
  }
  // One below a term that is known was replaced in that term.
  if (newest->term + 1 < view.next_term) {
    return nullptr;
  }
  // A term has one primary, so another id in the published term is the former
  // primary, unless it has lost its log.
  // Beside a promotion that is under way it must not accept commits.
  const bool has_restarted =
      newest->term == view.published_term && !view.is_promotion_called &&
      newest->received >= view.committed && HasLongestLog(*newest, view);
  return has_restarted || newest->term > view.published_term ? newest : nullptr;
}

// A primary that must not accept commits any more: one of an earlier term,
// which has not heard of its successor, or one that has lost its log. A primary
// does not stop receiving when it is paused. Null without one.
const ChangeMember* FindStalePrimary(const ChangeView& view) {
  const auto found = std::find_if(view.members.begin(), view.members.end(),
                                  [&](const ChangeMember& member) {
                                    return member.id != view.former &&
                                           member.has_answered &&
                                           member.is_primary;
                                  });
  return found == view.members.end() ? nullptr : &*found;
}

// Pauses every replica, and promotes the one with the longest log.
ChangeStep NextStepWithoutPrimary(const ChangeView& view) {
  const std::vector<const ChangeMember*> replicas = Replicas(view);
  for (const ChangeMember* member : replicas) {
    if (member->has_answered && !IsPaused(*member, view)) {
      return {ChangeAction::kPause, member->id};
    }
  }
  // A replica that does not respond may be the only one with the last commits.
  const bool are_all_paused =
      std::all_of(replicas.begin(), replicas.end(),
                  [&](const auto* member) { return IsPaused(*member, view); });
  if (!are_all_paused || !view.are_members_current) {
    return {};
  }
  const ChangeMember* longest =
      FindBest(view, [](const ChangeMember&) { return true; });
  if (longest != nullptr && longest->received < view.committed &&
      !view.is_commit_wait_over) {
    return {};
  }
  return PromoteAfterLeases(view, longest);
}

// Steps the former primary down when a replica can take over at once.
ChangeStep NextStepWithPrimary(const ChangeView& view,
                               const ChangeMember& former) {
  for (const ChangeMember* member : Replicas(view)) {
    // Left paused by a change that was not completed.
    if (member->has_answered && member->paused_term != 0) {
      return {ChangeAction::kResume, member->id};
    }
  }
  const ChangeMember* successor = FindBest(view, IsEligible);
  const bool keeps_up =
      successor != nullptr && successor->received >= former.received_before;
  if (!keeps_up || !view.read_leases_expired) {
    return {};
  }
  return {ChangeAction::kStepDown, former.id};
}

// The former primary accepts no further commit.
ChangeStep NextStepAfterStepDown(const ChangeView& view,
                                 const ChangeMember& former) {
  const ChangeMember* successor = FindBest(view, IsEligible);
  const ChangeMember* longest =
      FindBest(view, [](const ChangeMember&) { return true; });
  // A former primary that restarted without its log is behind the replicas and
  // proves nothing.
  const bool has_kept_its_log =
      former.received >= view.committed &&
      (longest == nullptr || former.received >= longest->received);
  if (successor != nullptr && has_kept_its_log &&
      successor->received >= former.received) {
    return PromoteAfterLeases(view, successor);
  }
  if (!view.is_catch_up_over) {
    return {};
  }
  // A replica that joined and left may have been the only other one with the
  // last commits.
  return has_kept_its_log ? PromoteAfterLeases(view, &former)
                          : NextStepWithoutPrimary(view);
}

}  // namespace

std::string_view ToString(ChangeAction action) {
  switch (action) {
    case ChangeAction::kWait:
      return "wait";
    case ChangeAction::kPause:
      return "pause";
    case ChangeAction::kResume:
      return "resume";
    case ChangeAction::kStepDown:
      return "step_down";
    case ChangeAction::kPromote:
      return "promote";
    case ChangeAction::kPublish:
      return "publish";
  }
  return "wait";
}

ChangeStep NextStep(const ChangeView& view) {
  if (const ChangeMember* successor = FindSuccessor(view)) {
    return {ChangeAction::kPublish, successor->id};
  }
  if (const ChangeMember* stale = FindStalePrimary(view)) {
    return {ChangeAction::kStepDown, stale->id};
  }
  const ChangeMember* former = FindFormer(view);
  if (former == nullptr || !former->has_answered) {
    return view.is_planned ? ChangeStep() : NextStepWithoutPrimary(view);
  }
  return former->is_primary ? NextStepWithPrimary(view, *former)
                            : NextStepAfterStepDown(view, *former);
}

}  // namespace laburnumkeel::promotion
