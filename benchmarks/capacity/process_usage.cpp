#include "benchmarks/capacity/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace laburnumkeel::benchmarks {

namespace {

constexpr double kBytesInKibibyte = 1024;
// Number of fields between the command in parentheses and utime in
// /proc/PID/stat.
constexpr int kFieldsBeforeTimes = 11;

std::string ProcFilePath(pid_t process, const std::string& name) {
  return "/proc/" + std::to_string(process) + "/" + name;
}

}  // namespace

ProcessUsage ReadUsage(pid_t process) {
  ProcessUsage usage;
  std::ifstream status(ProcFilePath(process, "status"));
  for (std::string line; std::getline(status, line);) {
    std::istringstream fields(line);
    std::string name;
    double value = 0;
    fields >> name >> value;
    if (name == "VmRSS:") {
      usage.resident_bytes = value * kBytesInKibibyte;
    } else if (name == "Threads:") {
      usage.threads = value;
    }
  }
  std::ifstream stat(ProcFilePath(process, "stat"));
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeTimes; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.processor_seconds =
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  return usage;
}

}  // namespace laburnumkeel::benchmarks
