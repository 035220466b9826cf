#include "laburnumkeel/sessions/session.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::sessions {

namespace {

// The position that a log must contain to contain both. A log end of a higher
// term is not enough: the log of that term may have begun before `known`.
model::LogPosition Merge(const model::LogPosition& known,
                         const model::LogPosition& seen,
                         const std::vector<model::TermStart>& terms) {
  if (known.position == 0) {
    return seen;
  }
  if (seen.term == known.term) {
    return seen.position > known.position ? seen : known;
  }
  if (seen.term < known.term) {
    return known;
  }
  return model::IsContained(known, terms) ? seen : known;
}

}  // namespace

Session::Session(std::string account, std::map<std::string, GroupState> groups)
    : account(std::move(account)), groups(std::move(groups)) {}

GroupState Session::Of(const std::string& group) const {
  const auto state = this->groups.find(group);
  return state == this->groups.end() ? GroupState{} : state->second;
}

Session Session::AfterWrite(const std::string& group,
                            const model::LogPosition& position,
                            const std::vector<model::TermStart>& terms) const {
  const GroupState state = this->Of(group);
  return this->With(group, GroupState{Merge(state.position, position, terms),
                                      state.unsettled_until_ms});
}

Session Session::AfterRead(const std::string& group,
                           const model::LogPosition& position,
                           const std::vector<model::TermStart>& terms) const {
  return this->AfterWrite(group, position, terms);
}

Session Session::AfterUnknownWrite(const std::string& group,
                                   std::int64_t now_ms) const {
  const GroupState state = this->Of(group);
  const std::int64_t until = now_ms + kUnsettledMs;
  return this->With(
      group,
      GroupState{state.position,
                 std::max(until, state.unsettled_until_ms.value_or(until))});
}

Session Session::AfterConfirmedRead(const std::string& group,
                                    const model::LogPosition& position,
                                    const std::vector<model::TermStart>& terms,
                                    std::int64_t started_ms) const {
  const Session read = this->AfterRead(group, position, terms);
  const GroupState state = read.Of(group);
  const bool is_settled =
      state.unsettled_until_ms.has_value() &&
      started_ms >= *state.unsettled_until_ms &&
      // A position that was kept is not contained in the log just read.
      state.position == position;
  return is_settled ? read.With(group, GroupState{state.position, std::nullopt})
                    : read;
}

Session Session::With(const std::string& group, const GroupState& state) const {
  std::map<std::string, GroupState> changed = this->groups;
  changed[group] = state;
  return Session(this->account, std::move(changed));
}

}  // namespace laburnumkeel::sessions
