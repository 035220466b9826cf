#ifndef LABURNUMKEEL_PROGRAMS_CTL_EVENT_CATALOGUE_H_
#define LABURNUMKEEL_PROGRAMS_CTL_EVENT_CATALOGUE_H_

#include <string>
#include <vector>

#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::ctl {

// The events of one library or program.
struct EventGroup {
  std::string source;
  std::vector<kernel::EventDefinition> events;
};

std::vector<EventGroup> AllEvents();

// All events as a Markdown table.
std::string EventCatalogue();

}  // namespace laburnumkeel::ctl

#endif  // LABURNUMKEEL_PROGRAMS_CTL_EVENT_CATALOGUE_H_
