#include "standins/standin-endpoint/execution_counter.h"

namespace laburnumkeel::standins {

void ExecutionCounter::Add(const std::string& request_id) {
  const std::lock_guard lock(this->mutex);
  ++this->counts[request_id];
}

std::map<std::string, std::int64_t> ExecutionCounter::Copy() const {
  const std::lock_guard lock(this->mutex);
  return this->counts;
}

}  // namespace laburnumkeel::standins
