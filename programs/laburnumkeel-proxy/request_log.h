#ifndef LABURNUMKEEL_PROGRAMS_PROXY_REQUEST_LOG_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_REQUEST_LOG_H_

#include <initializer_list>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/event_log.h"

namespace laburnumkeel::proxy {

// Rate-limited log of events about single requests, so that a flood of refusals
// does not take processor time from the requests themselves.
class RequestLog {
 public:
  // At about 20 us per line, this limit costs less than a thousandth of a core.
  static constexpr int kLinesPerSecond = 40;

  void Write(const kernel::EventDefinition& definition, kernel::Instant now,
             std::initializer_list<kernel::EventField> fields);

 private:
  kernel::Instant second_started;
  int written = 0;
  int omitted = 0;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_REQUEST_LOG_H_
