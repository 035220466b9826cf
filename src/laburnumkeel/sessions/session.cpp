#include "laburnumkeel/sessions/session.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::sessions {

namespace {

// The position that a log must contain so that it contains both positions. A
// higher term of `observed` alone does not suffice: the log of that term may
// have started before `known`.
model::LogPosition Merge(const model::LogPosition& known,
                         const model::LogPosition& observed,
                         const std::vector<model::TermStart>& terms) {
  if (known.position == 0) {
    return observed;
  }
  if (observed.term == known.term) {
    return observed.position > known.position ? observed : known;
  }
  if (observed.term < known.term) {
    return known;
  }
  return model::IsContained(known, terms) ? observed : known;
}

}  // namespace

Session::Session(std::string account, std::map<std::string, GroupState> groups)
    : account(std::move(account)), groups(std::move(groups)) {}

GroupState Session::StateOf(const std::string& group) const {
  const auto state = this->groups.find(group);
  return state == this->groups.end() ? GroupState{} : state->second;
}

Session Session::AfterWrite(const std::string& group,
                            const model::LogPosition& position,
                            const std::vector<model::TermStart>& terms) const {
  const GroupState state = this->StateOf(group);
  return this->WithState(group,
                         GroupState{Merge(state.position, position, terms),
                                    state.unsettled_until_ms});
}

Session Session::AfterRead(const std::string& group,
                           const model::LogPosition& position,
                           const std::vector<model::TermStart>& terms) const {
  return this->AfterWrite(group, position, terms);
}

Session Session::AfterUnknownWrite(const std::string& group,
                                   std::int64_t now_ms) const {
  const GroupState state = this->StateOf(group);
  const std::int64_t until = now_ms + kUnsettledMs;
  return this->WithState(
      group,
      GroupState{state.position,
                 std::max(until, state.unsettled_until_ms.value_or(until))});
}

Session Session::AfterConfirmedRead(const std::string& group,
                                    const model::LogPosition& position,
                                    const std::vector<model::TermStart>& terms,
                                    std::int64_t started_ms) const {
  const Session read = this->AfterRead(group, position, terms);
  const GroupState state = read.StateOf(group);
  const bool is_settled =
      state.unsettled_until_ms.has_value() &&
      started_ms >= *state.unsettled_until_ms &&
      // If the old position was kept, the log just read does not contain it.
      state.position == position;
  return is_settled
             ? read.WithState(group, GroupState{state.position, std::nullopt})
             : read;
}

Session Session::WithState(const std::string& group,
                           const GroupState& state) const {
  std::map<std::string, GroupState> changed = this->groups;
  changed[group] = state;
  return Session(this->account, std::move(changed));
}

}  // namespace laburnumkeel::sessions
