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

// What one VM knows of one group: an immutable snapshot. Each change returns a
// new view, so a request decides on one consistent state without a lock.
// `GroupViewHolder` publishes the newest view to several threads.
class GroupView {
 public:
  // Bound of the lag with which a returning endpoint may get reads again.
  static constexpr kernel::Duration kReturnLag = std::chrono::seconds(1);

  // A view without measurements.
  GroupView(const model::DatabaseGroup& group,
            const std::vector<model::DataCentre>& data_centres,
            kernel::Instant now);

  // Takes members and availability from a newer configuration. An endpoint
  // that was out of service or is new to the group counts as returning.
  GroupView WithConfiguration(
      const model::DatabaseGroup& group,
      const std::vector<model::DataCentre>& data_centres,
      kernel::Instant now) const;

  // Takes a status unless a newer one of that endpoint is known. The status of
  // an endpoint that is not a member changes nothing.
  GroupView WithStatus(const MeasuredStatus& measurement) const;

  // Sets whether the pool to the endpoint is filled. An endpoint whose pool was
  // lost counts as returning.
  GroupView WithPoolWarm(const std::string& endpoint, bool warm,
                         kernel::Instant now) const;

  // Takes a term seen elsewhere, for example in the table row
  // `primaries/<group>` or in an error response. Lower terms change nothing.
  GroupView WithTerm(model::Term term) const;

  const std::string& Name() const { return this->name; }
  // In the order of the configuration.
  const std::vector<MemberState>& Members() const { return this->members; }
  // Null when the endpoint is not a member.
  const MemberState* Find(const std::string& endpoint) const;
  std::size_t Majority() const { return this->members.size() / 2 + 1; }
  // Statuses of all measured members.
  std::vector<MeasuredStatus> Statuses() const;

  // Highest term seen in any status or hint.
  model::Term HighestTerm() const { return this->highest_term; }
  // The member that reports to be the primary, in the highest such term, and
  // has not sealed a higher term. Null when there is none.
  const MemberState* Primary() const;
  // Term of `Primary()`, or 0.
  model::Term PrimaryTerm() const;
  // True when `Primary()` exists and no higher term was seen.
  bool IsPrimaryCurrent() const;
  // The latest instant after which a majority, the primary included, still had
  // the primary's term as its sealed term. Empty without such a majority.
  std::optional<kernel::Instant> PrimaryConfirmedAt() const;

  // True when the endpoint may receive new reads: in service and, after a
  // return, once its lag was below `kReturnLag` with a warm pool.
  bool IsEligible(const std::string& endpoint) const;

  bool operator==(const GroupView&) const = default;

 private:
  std::string name;
  std::vector<MemberState> members;
  model::Term highest_term = 0;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_GROUP_VIEW_H_
