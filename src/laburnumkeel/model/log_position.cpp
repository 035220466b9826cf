#include "laburnumkeel/model/log_position.h"

#include <algorithm>

namespace laburnumkeel::model {

bool IsContained(const LogPosition& position,
                 const std::vector<TermStart>& terms) {
  if (position.position == 0) {
    return true;
  }
  if (terms.empty() || position.term > terms.back().term) {
    return false;
  }
  // A log with entries of a term lists the start of the term. A position of an
  // unlisted term belongs to a primary whose entries this log never received.
  const bool listed =
      position.term < terms.front().term ||
      std::any_of(terms.begin(), terms.end(), [&](const TermStart& start) {
        return start.term == position.term;
      });
  return listed &&
         std::all_of(terms.begin(), terms.end(), [&](const TermStart& later) {
           return later.term <= position.term ||
                  position.position <= later.start;
         });
}

}  // namespace laburnumkeel::model
