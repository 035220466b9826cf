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
EventGroup Group(const char* source,
                 const std::array<kernel::EventDefinition, Count>& events) {
  return EventGroup{source, {events.begin(), events.end()}};
}

}  // namespace

std::vector<EventGroup> AllEvents() {
  return {Group("kernel", kernel::kEvents),
          Group("platform", platform::kEvents),
          Group("transport", transport::kEvents),
          Group("endpoints", endpoints::kEvents),
          Group("routing", routing::kEvents),
          Group("sessions", sessions::kEvents),
          Group("limits", limits::kEvents),
          Group("promotion", promotion::kEvents),
          Group("configuration", configuration::kEvents),
          Group("membership", membership::kEvents),
          Group("peer", peer::kEvents),
          Group("entry", entry::kEvents),
          Group("control", control::kEvents),
          Group("admin", admin::kEvents),
          Group("proxy", proxy::kEvents)};
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
