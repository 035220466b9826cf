#ifndef LABURNUMKEEL_ROUTING_GROUP_VIEW_H_
#define LABURNUMKEEL_ROUTING_GROUP_VIEW_H_

#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/configuration.h"
#include "laburnumkeel/model/log_position.h"
#include "laburnumkeel/routing/member_state.h"

namespace laburnumkeel::routing {

// Immutable snapshot of what one VM knows about one group. Each change returns
// a new view, so that a request works on one consistent state without a lock.
// `GroupViewHolder` publishes the newest view to several threads.
class GroupView {
 public:
  // Upper bound of the lag at which a returning endpoint gets reads again.
  static constexpr kernel::Duration kReturnLag = std::chrono::seconds(1);

  // A view without measurements.
  GroupView(const model::DatabaseGroup& group,
            const std::vector<model::DataCentre>& data_centres,
            kernel::Instant now);

  // Applies the members and availability of a newer configuration. An endpoint
  // that was out of service or is new to the group counts as returning.
  GroupView WithConfiguration(
      const model::DatabaseGroup& group,
      const std::vector<model::DataCentre>& data_centres,
      kernel::Instant now) const;

  // Applies a status unless a newer one of that endpoint is known. The status
  // of an endpoint that is not a member is ignored.
  GroupView WithStatus(const MeasuredStatus& measurement) const;

  // Sets whether the connection pool to the endpoint is warm. An endpoint whose
  // pool was warm and no longer is counts as returning.
  GroupView WithPoolWarm(const std::string& endpoint, bool warm,
                         kernel::Instant now) const;

  // Applies a term observed elsewhere, for example in the table row
  // `primaries/<group>` or in an error response. Lower terms are ignored.
  GroupView WithTerm(model::Term term) const;

  const std::string& Name() const { return this->name; }
  // In the order of the configuration.
  const std::vector<MemberState>& Members() const { return this->members; }
  // Null when the endpoint is not a member.
  const MemberState* Find(const std::string& endpoint) const;
  std::size_t Majority() const { return this->members.size() / 2 + 1; }
  // Statuses of all measured members.
  std::vector<MeasuredStatus> Statuses() const;

  // Highest term observed in any status or passed to `WithTerm()`.
  model::Term HighestTerm() const { return this->highest_term; }
  // The member that reports itself as the primary and has not sealed a higher
  // term; of several, the one with the highest term. Null if there is none.
  const MemberState* Primary() const;
  // Term of `Primary()`, or 0.
  model::Term PrimaryTerm() const;
  // True if there is a `Primary()` and no higher term was observed.
  bool IsPrimaryCurrent() const;
  // The latest instant at or after which every member of some majority that
  // includes the primary still had the primary's term as its sealed term. Empty
  // without such a majority.
  std::optional<kernel::Instant> PrimaryConfirmedAt() const;

  // True if the endpoint can receive new reads: it is in service and, after a
  // return, had a lag below `kReturnLag` while its pool was warm.
  bool IsEligible(const std::string& endpoint) const;

  bool operator==(const GroupView&) const = default;

 private:
  std::string name;
  std::vector<MemberState> members;
  model::Term highest_term = 0;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_GROUP_VIEW_H_
