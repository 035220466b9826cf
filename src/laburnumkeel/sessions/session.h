#ifndef LABURNUMKEEL_SESSIONS_SESSION_H_
#define LABURNUMKEEL_SESSIONS_SESSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::sessions {

// What a session knows about one group.
struct GroupState {
  // A log must contain this position to serve the session's reads.
  model::LogPosition position;
  // Set after a write with unknown outcome: milliseconds since the Unix epoch
  // until which an endpoint may still execute that write.
  std::optional<std::int64_t> unsettled_until_ms;

  bool operator==(const GroupState&) const = default;
};

// Time for which an endpoint may still execute a write with unknown outcome.
inline constexpr std::int64_t kUnsettledMs = 30'000;

// Read-your-writes state of one caller. Immutable: each operation returns a new
// session.
//
// Each operation that takes a position also takes the term starts of the log
// in which the position was observed. The session adopts a position of a higher
// term only if that log contains the old position. Otherwise it keeps the old
// position, so that reads continue to be refused instead of silently missing a
// write.
class Session {
 public:
  explicit Session(std::string account,
                   std::map<std::string, GroupState> groups = {});

  const std::string& Account() const { return this->account; }
  // By group name.
  const std::map<std::string, GroupState>& Groups() const {
    return this->groups;
  }
  // The position is 0 for a group that the session has not used.
  GroupState StateOf(const std::string& group) const;

  // After a write that was confirmed at `position`.
  Session AfterWrite(const std::string& group,
                     const model::LogPosition& position,
                     const std::vector<model::TermStart>& terms) const;

  // After a read that observed the log up to `position`.
  Session AfterRead(const std::string& group,
                    const model::LogPosition& position,
                    const std::vector<model::TermStart>& terms) const;

  // After a write whose outcome became unknown at `now_ms`, in milliseconds
  // since the Unix epoch.
  Session AfterUnknownWrite(const std::string& group,
                            std::int64_t now_ms) const;

  // After a read from the primary whose term a majority confirmed after the
  // read. Settles the group if the read began, at `started_ms`, when no
  // endpoint could execute the unknown write any more and if its log contains
  // the session's position.
  Session AfterConfirmedRead(const std::string& group,
                             const model::LogPosition& position,
                             const std::vector<model::TermStart>& terms,
                             std::int64_t started_ms) const;

  bool operator==(const Session&) const = default;

 private:
  Session WithState(const std::string& group, const GroupState& state) const;

  std::string account;
  std::map<std::string, GroupState> groups;
};

}  // namespace laburnumkeel::sessions

#endif  // LABURNUMKEEL_SESSIONS_SESSION_H_
