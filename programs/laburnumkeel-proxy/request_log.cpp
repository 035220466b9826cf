#include "programs/laburnumkeel-proxy/request_log.h"

#include <chrono>

#include "programs/laburnumkeel-proxy/events.h"

namespace laburnumkeel::proxy {

void RequestLog::Write(const kernel::EventDefinition& definition,
                       kernel::Instant now,
                       std::initializer_list<kernel::EventField> fields) {
  if (now >= this->second_started + std::chrono::seconds(1)) {
    if (this->omitted > 0) {
      kernel::LogEvent(kLinesOmitted, {{"lines", this->omitted}});
    }
    this->second_started = now;
    this->written = 0;
    this->omitted = 0;
  }
  if (this->written >= kLinesPerSecond) {
    ++this->omitted;
    return;
  }
  ++this->written;
  kernel::LogEvent(definition, fields);
}

}  // namespace laburnumkeel::proxy
