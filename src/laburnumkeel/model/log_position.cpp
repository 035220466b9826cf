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
  return std::all_of(terms.begin(), terms.end(), [&](const TermStart& later) {
    return later.term <= position.term || position.position <= later.start;
  });
}

}  // namespace laburnumkeel::model
