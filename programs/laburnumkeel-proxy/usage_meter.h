#ifndef LABURNUMKEEL_PROGRAMS_PROXY_USAGE_METER_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_USAGE_METER_H_

#include <functional>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::proxy {

// Where the statements that databases began to run are counted. Without a sink,
// nothing is.
class UsageMeter {
 public:
  // `began` is the estimate of when the database began.
  using Sink =
      std::function<void(const std::string& account, kernel::Instant began)>;

  void SetSink(Sink new_sink) { this->sink = std::move(new_sink); }

  // A statement of a client account has run, or may have: it was sent at
  // `sent`, and its answer arrived, or was given up, at `ended`.
  void OnRun(const std::string& account, kernel::Instant sent,
             kernel::Instant ended) const {
    if (this->sink) {
      // The statement may wait at the database before it begins, and runs
      // before it is answered.
      this->sink(account, sent + (ended - sent) / 2);
    }
  }

 private:
  Sink sink;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_USAGE_METER_H_
