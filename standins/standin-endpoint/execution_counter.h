#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_EXECUTION_COUNTER_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_EXECUTION_COUNTER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace laburnumkeel::standins {

// Counts how often each request was executed, so that a test can find repeated
// executions. Thread-safe.
class ExecutionCounter {
 public:
  void Add(const std::string& request_id);
  std::map<std::string, std::int64_t> Copy() const;

 private:
  mutable std::mutex mutex;
  std::map<std::string, std::int64_t> counts;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_EXECUTION_COUNTER_H_
