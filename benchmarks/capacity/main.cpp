#include <glog/logging.h>

#include <iostream>
#include <string>

#include "benchmarks/capacity/configuration_benchmark.h"
#include "benchmarks/capacity/entry_benchmark.h"
#include "benchmarks/capacity/ledger_benchmark.h"
#include "benchmarks/capacity/peer_benchmark.h"
#include "benchmarks/capacity/status_benchmark.h"
#include "laburnumkeel/kernel/settings.h"

// Measures costs at several sizes and fits lines to them, for
// docs/CAPACITY.md.
int main(int argument_count, char** arguments) {
  std::string binaries = "build/bin";
  std::string logs = "/tmp";
  bool without_processes = false;
  laburnumkeel::kernel::Settings settings(
      "capacity-benchmark", "Measures how costs grow with the size of a fleet");
  settings.AddText("binaries", binaries, 1, "folder of the programs");
  settings.AddText("logs", logs, 1, "existing folder for the logs");
  settings.AddSwitch("without-processes", without_processes,
                     "leaves out the fleet of real processes");
  if (const auto exit_code = settings.Parse(argument_count, arguments)) {
    return *exit_code;
  }
  // Log lines of the measured code would be mixed into the tables.
  FLAGS_minloglevel = google::GLOG_WARNING;
  std::cout << "processor times are medians of one thread in microseconds\n";
  laburnumkeel::benchmarks::MeasureLedger();
  laburnumkeel::benchmarks::MeasurePeer();
  laburnumkeel::benchmarks::MeasureConfiguration();
  laburnumkeel::benchmarks::MeasureStatus();
  if (without_processes) {
    return 0;
  }
  return laburnumkeel::benchmarks::MeasureEntry(binaries, logs) ? 0 : 1;
}
