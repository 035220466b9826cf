#include "programs/laburnumkeel-ctl/event_catalogue.h"

#include <array>
#include <cstddef>

#include "laburnumkeel/configuration/events.h"
#include "laburnumkeel/endpoints/events.h"
#include "laburnumkeel/kernel/events.h"
#include "laburnumkeel/limits/events.h"
#include "laburnumkeel/membership/events.h"
#include "laburnumkeel/peer/events.h"
#include "laburnumkeel/platform/events.h"
#include "laburnumkeel/promotion/events.h"
#include "laburnumkeel/routing/events.h"
#include "laburnumkeel/sessions/events.h"
#include "laburnumkeel/transport/events.h"
#include "programs/laburnumkeel-admin/events.h"
#include "programs/laburnumkeel-control/events.h"
#include "programs/laburnumkeel-entry/events.h"
#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::ctl {

namespace {

template <std::size_t Count>
EventGroup MakeGroup(const char* source,
                     const std::array<kernel::EventDefinition, Count>& events) {
  return EventGroup{source, {events.begin(), events.end()}};
}

}  // namespace

std::vector<EventGroup> AllEvents() {
  return {MakeGroup("kernel", kernel::kEvents),
          MakeGroup("platform", platform::kEvents),
          MakeGroup("transport", transport::kEvents),
          MakeGroup("endpoints", endpoints::kEvents),
          MakeGroup("routing", routing::kEvents),
          MakeGroup("sessions", sessions::kEvents),
          MakeGroup("limits", limits::kEvents),
          MakeGroup("promotion", promotion::kEvents),
          MakeGroup("configuration", configuration::kEvents),
          MakeGroup("membership", membership::kEvents),
          MakeGroup("peer", peer::kEvents),
          MakeGroup("entry", entry::kEvents),
          MakeGroup("control", control::kEvents),
          MakeGroup("admin", admin::kEvents),
          MakeGroup("proxy", proxy::kEvents)};
}

std::string EventCatalogue() {
  std::string text =
      "| number | severity | name | source | meaning "
      "|\n|---|---|---|---|---|\n";
  for (const EventGroup& group : AllEvents()) {
    for (const kernel::EventDefinition& event : group.events) {
      text += "| " + std::to_string(event.number) + " | " +
              std::string(ToString(event.severity)) + " | `" +
              std::string(event.name) + "` | " + group.source + " | " +
              std::string(event.meaning) + " |\n";
    }
  }
  return text;
}

}  // namespace laburnumkeel::ctl
