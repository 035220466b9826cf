#ifndef LABURNUMKEEL_ROUTING_COMMITTED_POSITION_H_
#define LABURNUMKEEL_ROUTING_COMMITTED_POSITION_H_

#include <algorithm>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::routing {

// A lower bound of the log position up to which the commits of a service may
// have been acknowledged: a replica has received the log up to there, or a
// client got the response to a later commit. An endpoint whose log is shorter
// lacks such commits.
//
// The bound belongs to the published term, as a promotion cuts back the logs of
// endpoints that were ahead of the new primary.
class CommittedPosition {
 public:
  // Processes a position learned while `published_term` was the newest one
  // published.
  void Observe(model::Term published_term, const model::LogPosition& position) {
    if (published_term != this->term) {
      this->term = published_term;
      this->highest = {};
    }
    this->highest = std::max(this->highest, position);
  }

  // The lower bound in `published_term`; zero when nothing is known.
  model::LogPosition Find(model::Term published_term) const {
    return published_term == this->term ? this->highest : model::LogPosition();
  }

 private:
  model::Term term = 0;
  model::LogPosition highest;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_COMMITTED_POSITION_H_
