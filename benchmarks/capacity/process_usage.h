#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_PROCESS_USAGE_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_PROCESS_USAGE_H_

#include <sys/types.h>

namespace laburnumkeel::benchmarks {

// Resource usage of a process as reported under /proc.
struct ProcessUsage {
  // VmRSS in bytes.
  double resident_bytes = 0;
  double threads = 0;
  // User and system time since the start, in steps of 10 ms.
  double processor_seconds = 0;

  bool operator==(const ProcessUsage&) const = default;
};

// All zero when the process does not exist.
ProcessUsage ReadUsage(pid_t process);

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_PROCESS_USAGE_H_
