#include "laburnumkeel/routing/group_view.h"

#include <algorithm>
#include <functional>

namespace laburnumkeel::routing {

namespace {

model::Availability AvailabilityOf(
    const model::Endpoint& endpoint,
    const std::vector<model::DataCentre>& data_centres) {
  const auto data_centre =
      std::find_if(data_centres.begin(), data_centres.end(),
                   [&](const model::DataCentre& candidate) {
                     return candidate.name == endpoint.data_centre;
                   });
  const bool out = endpoint.availability == model::Availability::kOut ||
                   (data_centre != data_centres.end() &&
                    data_centre->availability == model::Availability::kOut);
  return out ? model::Availability::kOut : model::Availability::kIn;
}

MemberState NewMember(const model::Endpoint& endpoint,
                      const std::vector<model::DataCentre>& data_centres,
                      kernel::Instant now) {
  const model::Availability availability =
      AvailabilityOf(endpoint, data_centres);
  const bool out = availability == model::Availability::kOut;
  return MemberState{endpoint.name, endpoint.data_centre,
                     availability,  out ? std::optional(now) : std::nullopt,
                     false,         false,
                     std::nullopt};
}

// A returning member is readmitted once its lag is low enough and its pool is
// warm. It stays readmitted if it lags again later, because from then on the
// requirement of each read bounds the lag.
MemberState Readmitted(MemberState member, kernel::Instant now) {
  if (member.returning && member.warm &&
      Staleness(member, now) < GroupView::kReturnLag) {
    member.returning = false;
  }
  return member;
}

bool IsPrimary(const MemberState& member) {
  return member.measurement &&
         member.measurement->status.role == model::EndpointRole::kPrimary &&
         member.measurement->status.sealed_term ==
             member.measurement->status.log_end.term;
}

model::Term LogTerm(const MemberState& member) {
  return member.measurement->status.log_end.term;
}

template <class Members>
auto FindIn(Members& members, const std::string& endpoint) {
  return std::find_if(
      members.begin(), members.end(),
      [&](const MemberState& member) { return member.endpoint == endpoint; });
}

}  // namespace

GroupView::GroupView(const model::DatabaseGroup& group,
                     const std::vector<model::DataCentre>& data_centres,
                     kernel::Instant now)
    : name(group.name) {
  for (const model::Endpoint& endpoint : group.endpoints) {
    this->members.push_back(NewMember(endpoint, data_centres, now));
  }
}

GroupView GroupView::WithConfiguration(
    const model::DatabaseGroup& group,
    const std::vector<model::DataCentre>& data_centres,
    kernel::Instant now) const {
  GroupView next(group, data_centres, now);
  next.highest_term = this->highest_term;
  for (MemberState& member : next.members) {
    const MemberState* known = this->Find(member.endpoint);
    if (known == nullptr) {
      member.returning = true;
      continue;
    }
    const bool was_out = known->availability == model::Availability::kOut;
    member.returning = known->returning || was_out;
    member.warm = known->warm;
    member.measurement = known->measurement;
    if (was_out && member.out_since) {
      member.out_since = known->out_since;
    }
    member = Readmitted(member, now);
  }
  return next;
}

GroupView GroupView::WithStatus(const MeasuredStatus& measurement) const {
  GroupView next = *this;
  const auto member = FindIn(next.members, measurement.status.endpoint);
  if (member == next.members.end()) {
    return next;
  }
  next.highest_term =
      std::max({next.highest_term, measurement.status.sealed_term,
                measurement.status.log_end.term});
  if (member->measurement && !IsNewer(measurement, *member->measurement)) {
    return next;
  }
  member->measurement = measurement;
  *member = Readmitted(*member, measurement.received);
  return next;
}

GroupView GroupView::WithPoolWarm(const std::string& endpoint, bool warm,
                                  kernel::Instant now) const {
  GroupView next = *this;
  const auto member = FindIn(next.members, endpoint);
  if (member == next.members.end()) {
    return next;
  }
  member->returning = member->returning || (member->warm && !warm);
  member->warm = warm;
  *member = Readmitted(*member, now);
  return next;
}

GroupView GroupView::WithTerm(model::Term term) const {
  GroupView next = *this;
  next.highest_term = std::max(next.highest_term, term);
  return next;
}

const MemberState* GroupView::Find(const std::string& endpoint) const {
  const auto member = FindIn(this->members, endpoint);
  return member == this->members.end() ? nullptr : &*member;
}

std::vector<MeasuredStatus> GroupView::Statuses() const {
  std::vector<MeasuredStatus> statuses;
  for (const MemberState& member : this->members) {
    if (member.measurement) {
      statuses.push_back(*member.measurement);
    }
  }
  return statuses;
}

const MemberState* GroupView::Primary() const {
  const MemberState* primary = nullptr;
  for (const MemberState& member : this->members) {
    if (IsPrimary(member) &&
        (primary == nullptr || LogTerm(member) > LogTerm(*primary))) {
      primary = &member;
    }
  }
  return primary;
}

model::Term GroupView::PrimaryTerm() const {
  const MemberState* primary = this->Primary();
  return primary == nullptr ? 0 : LogTerm(*primary);
}

bool GroupView::IsPrimaryCurrent() const {
  return this->Primary() != nullptr &&
         this->PrimaryTerm() == this->highest_term;
}

std::optional<kernel::Instant> GroupView::PrimaryConfirmedAt() const {
  const MemberState* primary = this->Primary();
  if (primary == nullptr) {
    return std::nullopt;
  }
  const model::Term term = LogTerm(*primary);
  std::vector<kernel::Instant> sent;
  for (const MemberState& member : this->members) {
    if (member.measurement && member.measurement->status.sealed_term == term) {
      sent.push_back(member.measurement->sent);
    }
  }
  if (sent.size() < this->Majority()) {
    return std::nullopt;
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return std::min(sent[this->Majority() - 1], primary->measurement->sent);
}

bool GroupView::IsEligible(const std::string& endpoint) const {
  const MemberState* member = this->Find(endpoint);
  return member != nullptr &&
         member->availability == model::Availability::kIn && !member->returning;
}

}  // namespace laburnumkeel::routing
