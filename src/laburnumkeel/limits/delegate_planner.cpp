#include "laburnumkeel/limits/delegate_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace laburnumkeel::limits {

using kernel::Instant;
using membership::DelegateRing;
using membership::DelegateVm;

namespace {

// A VM whose last report is older is not chosen as a new member.
constexpr std::chrono::seconds kRecently{3};
// Of the members, at most this part is replaced or added at a time: places that
// change hands are unused until all VMs know of it. When more are silent, the
// leader itself is probably cut off.
constexpr std::size_t kChangedPart = 8;

}  // namespace

void DelegatePlanner::Reset(const DelegateRing& inherited, Instant now) {
  *this = DelegatePlanner();
  this->term_began = now;
  this->OnPublished(inherited, now);
}

void DelegatePlanner::OnReported(const std::string& vm, std::uint64_t revision,
                                 Instant now) {
  this->reporters[vm] = {revision, now};
}

void DelegatePlanner::OnPublished(const DelegateRing& ring, Instant now) {
  if (ring.revision == this->published.revision && ring == this->published) {
    return;
  }
  this->published = ring;
  std::map<std::string, Change> known;
  std::swap(known, this->changes);
  const auto keep = [&](const std::string& vm) {
    const auto found = known.find(vm);
    this->changes[vm] =
        found == known.end() ? Change{ring.revision, now} : found->second;
  };
  for (const auto& [vm, details] : ring.joining) {
    keep(vm);
  }
  for (const std::string& vm : ring.retired) {
    keep(vm);
  }
}

bool DelegatePlanner::IsDelegating(std::size_t registered) const {
  return !this->published.IsEmpty() || registered >= kSmallestFleet ||
         (!this->published.is_settled && registered >= kCertainlySmall);
}

bool DelegatePlanner::HasReported(const std::string& vm, Instant now) const {
  const auto found = this->reporters.find(vm);
  return found != this->reporters.end() &&
         now < found->second.reported_at + kRecently;
}

bool DelegatePlanner::HasFollowed(const std::string& vm,
                                  const Change& change) const {
  const auto found = this->reporters.find(vm);
  return found != this->reporters.end() &&
         found->second.revision >= change.revision;
}

bool DelegatePlanner::IsTakeOverSafe(const std::string& vm, Instant now) const {
  return now >= this->changes.at(vm).since + kTakeOverDelay;
}

bool DelegatePlanner::IsJoinKnown(const std::string& vm) const {
  const Change& change = this->changes.at(vm);
  return std::all_of(this->published.members.begin(),
                     this->published.members.end(),
                     [&](const auto& member) {
                       return this->HasFollowed(member.first, change);
                     }) &&
         std::all_of(this->published.retired.begin(),
                     this->published.retired.end(),
                     [&](const std::string& retired) {
                       return this->HasFollowed(retired, change);
                     });
}

DelegateRing DelegatePlanner::Propose(const Candidates& registered,
                                      std::uint64_t token,
                                      bool are_limits_unassigned, Instant now) {
  if (registered.size() != this->registered_count) {
    this->registered_count = registered.size();
    this->registered_since = now;
  }
  DelegateRing next = this->published;
  if (!next.is_settled || next.IsEmpty()) {
    this->PlanFirst(registered, are_limits_unassigned, now, next);
  } else {
    this->PlanChange(registered, now, next);
  }
  if (!(next == this->published)) {
    next.revision = token * kRevisionsPerToken + ++this->proposals;
  }
  return next;
}

void DelegatePlanner::PlanFirst(const Candidates& registered,
                                bool are_limits_unassigned, Instant now,
                                DelegateRing& next) {
  const auto reported = std::count_if(
      registered.begin(), registered.end(),
      [&](const auto& entry) { return this->HasReported(entry.first, now); });
  const bool is_stable = now >= this->registered_since + kStableTime &&
                         static_cast<std::size_t>(reported) >= kSmallestFleet;
  const bool is_safe =
      are_limits_unassigned &&
      (next.is_settled || now >= this->term_began + kTakeOverDelay);
  if (registered.size() < kCertainlySmall && next.IsEmpty()) {
    next.is_settled = true;
  }
  if (!is_stable || !is_safe) {
    return;
  }
  next.is_settled = true;
  next.members = this->Choose(registered, DelegateRing(), kMaximumMembers, now);
}

void DelegatePlanner::PlanChange(const Candidates& registered, Instant now,
                                 DelegateRing& next) const {
  for (const auto& [vm, details] : this->published.joining) {
    if (this->IsTakeOverSafe(vm, now) || this->IsJoinKnown(vm)) {
      next.members.emplace(vm, details);
      next.joining.erase(vm);
    }
  }
  for (const std::string& vm : this->published.retired) {
    if (this->IsTakeOverSafe(vm, now) ||
        this->HasFollowed(vm, this->changes.at(vm))) {
      next.retired.erase(vm);
    }
  }
  for (auto& [vm, details] : next.members) {
    // A VM may come back under its name at another address.
    const auto found = registered.find(vm);
    if (found != registered.end() && !found->second.vm.address.empty()) {
      details = found->second.vm;
    }
  }
  this->Retire(now, next);
  this->Join(registered, now, next);
}

void DelegatePlanner::Retire(Instant now, DelegateRing& next) const {
  if (now < this->term_began + kSilence) {
    return;
  }
  std::vector<std::string> silent;
  for (const auto& [vm, details] : this->published.members) {
    const auto found = this->reporters.find(vm);
    if (found == this->reporters.end() ||
        now >= found->second.reported_at + kSilence) {
      silent.push_back(vm);
    }
  }
  if ((silent.size() + next.retired.size()) * kChangedPart >
      this->published.members.size()) {
    return;
  }
  for (const std::string& vm : silent) {
    next.members.erase(vm);
    next.retired.insert(vm);
  }
}

void DelegatePlanner::Join(const Candidates& registered, Instant now,
                           DelegateRing& next) const {
  const std::size_t count = next.members.size() + next.joining.size();
  if (!next.joining.empty() || count >= kMaximumMembers) {
    return;
  }
  const std::size_t most =
      std::max<std::size_t>(1, next.members.size() / kChangedPart);
  next.joining = this->Choose(registered, next,
                              std::min(kMaximumMembers - count, most), now);
}

std::map<std::string, DelegateVm> DelegatePlanner::Choose(
    const Candidates& registered, const DelegateRing& ring, std::size_t count,
    Instant now) const {
  // The largest VMs answer others soonest.
  std::vector<std::tuple<double, std::string>> ranked;
  for (const auto& [vm, candidate] : registered) {
    if (this->HasReported(vm, now) && !candidate.vm.address.empty() &&
        !ring.members.contains(vm) && !ring.retired.contains(vm)) {
      ranked.emplace_back(-candidate.processor_share, vm);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), count));
  std::map<std::string, DelegateVm> chosen;
  for (const auto& [share, vm] : ranked) {
    chosen.emplace(vm, registered.at(vm).vm);
  }
  return chosen;
}

}  // namespace laburnumkeel::limits
