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

// True when no acknowledged commit can be missing in `candidate`.
bool HoldsAllCommits(const ChangeMember& candidate, const ChangeView& view) {
  const std::vector<const ChangeMember*> replicas = Replicas(view);
  const bool all_replicas_known =
      std::all_of(replicas.begin(), replicas.end(),
                  [&](const auto* member) { return IsPaused(*member, view); });
  const bool is_longest =
      std::all_of(replicas.begin(), replicas.end(), [&](const auto* member) {
        return !member->has_answered || candidate.received >= member->received;
      });
  if (all_replicas_known) {
    return is_longest;
  }
  // A replica is unreachable. The former primary's log has every commit, but
  // it can be compared only once it no longer grows.
  const ChangeMember* former = FindFormer(view);
  return is_longest && former != nullptr && former->has_answered &&
         !former->is_primary && candidate.received >= former->received;
}

ChangeStep NextUnplannedStep(const ChangeView& view) {
  const ChangeMember* best = nullptr;
  for (const ChangeMember* member : Replicas(view)) {
    if (!member->has_answered) {
      continue;
    }
    if (!IsPaused(*member, view)) {
      return {ChangeAction::kPause, member->id};
    }
    if (best == nullptr || IsBetter(*member, *best)) {
      best = member;
    }
  }
  if (best == nullptr || !view.read_leases_expired ||
      !HoldsAllCommits(*best, view)) {
    return {};
  }
  return {ChangeAction::kPromote, best->id};
}

ChangeStep NextPlannedStep(const ChangeView& view) {
  const std::vector<const ChangeMember*> replicas = Replicas(view);
  const ChangeMember* candidate = nullptr;
  for (const ChangeMember* member : replicas) {
    if (!member->has_answered || !member->is_eligible) {
      continue;
    }
    // The replica that does not become the primary is paused first, so an
    // unpaused one is preferred.
    const bool is_better =
        candidate == nullptr ||
        (!IsPaused(*member, view) && IsPaused(*candidate, view)) ||
        (IsPaused(*member, view) == IsPaused(*candidate, view) &&
         IsBetter(*member, *candidate));
    if (is_better) {
      candidate = member;
    }
  }
  if (candidate == nullptr) {
    return {};
  }
  for (const ChangeMember* member : replicas) {
    if (member != candidate && !IsPaused(*member, view)) {
      return member->has_answered ? ChangeStep{ChangeAction::kPause, member->id}
                                  : ChangeStep{};
    }
  }
  if (!view.read_leases_expired) {
    return {};
  }
  if (!IsPaused(*candidate, view)) {
    return HoldsAllCommits(*candidate, view) ||
                   std::all_of(replicas.begin(), replicas.end(),
                               [&](const auto* member) {
                                 return candidate->received >= member->received;
                               })
               ? ChangeStep{ChangeAction::kPause, candidate->id}
               : ChangeStep{};
  }
  if (HoldsAllCommits(*candidate, view)) {
    return {ChangeAction::kPromote, candidate->id};
  }
  return {ChangeAction::kResume, candidate->id};
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
    case ChangeAction::kPromote:
      return "promote";
    case ChangeAction::kPublish:
      return "publish";
  }
  return "wait";
}

ChangeStep NextStep(const ChangeView& view) {
  for (const ChangeMember& member : view.members) {
    if (member.has_answered && member.is_primary && member.id != view.former &&
        member.term >= view.next_term) {
      return {ChangeAction::kPublish, member.id};
    }
  }
  return view.is_planned ? NextPlannedStep(view) : NextUnplannedStep(view);
}

}  // namespace laburnumkeel::promotion
