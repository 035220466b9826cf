#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_TERM_STARTS_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_TERM_STARTS_H_

#include <string>
#include <vector>

#include "laburnumkeel/routing/group_view.h"

namespace laburnumkeel::entry {

// The terms of the endpoint's log as last reported; empty if unknown.
inline std::vector<model::TermStart> TermStartsOf(
    const routing::GroupView& view, const std::string& endpoint) {
  const routing::MemberState* member = view.Find(endpoint);
  if (member == nullptr || !member->measurement.has_value()) {
    return {};
  }
  return member->measurement->status.term_starts;
}

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_TERM_STARTS_H_
