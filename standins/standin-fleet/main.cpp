#include <iostream>

#include "laburnumkeel/kernel/settings.h"
#include "laburnumkeel/kernel/shutdown_signal.h"
#include "standins/standin-fleet/demonstration.h"
#include "standins/standin-fleet/distribution_measurement.h"
#include "standins/standin-fleet/fleet.h"

namespace {

using laburnumkeel::standin::Deployment;
using laburnumkeel::standin::Fleet;

// Starts one deployment, runs the demonstration or waits for a signal, and
// stops it. Returns whether all steps succeeded and all programs ended with
// exit code 0.
bool RunDeployment(const Deployment& deployment, const std::string& scenario,
                   const std::string& binaries, const std::string& logs,
                   const laburnumkeel::kernel::ShutdownSignal& signal) {
  std::cout << "deployment " << deployment.service
            << ": 3 data centres, 9 endpoints, 8 VMs\n";
  Fleet fleet(deployment, binaries, logs);
  if (!fleet.Start()) {
    std::cout << "  FAIL  the fleet did not become ready, see " << logs << '\n';
    return false;
  }
  std::cout << "  ok    the fleet is ready\n";
  int failures = 0;
  if (scenario == "demo") {
    failures += RunDemonstration(fleet);
  } else if (scenario == "distribution") {
    failures += MeasureDistribution(fleet) ? 0 : 1;
  } else {
    std::cout << "  running until SIGTERM or SIGINT\n" << std::flush;
    signal.Wait();
  }
  const int unclean = fleet.Stop();
  std::cout << (unclean == 0 ? "  ok    " : "  FAIL  ")
            << "stopped, programs without exit code 0: " << unclean << '\n';
  return failures + unclean == 0;
}

}  // namespace

// Runs a whole deployment on loopback, for demonstrations and measurements.
int main(int argument_count, char** arguments) {
  std::string binaries = "build/bin";
  std::string logs = "/tmp";
  std::string scenario = "demo";
  std::string deployment = "both";
  laburnumkeel::kernel::Settings settings(
      "standin-fleet", "Runs a deployment of laburnumkeel on loopback");
  settings.AddText("binaries", binaries, 1, "folder of the programs");
  settings.AddText("logs", logs, 1, "existing folder for the logs");
  settings.AddText("scenario", scenario, 1, "demo, run or distribution");
  settings.AddText("deployment", deployment, 1, "ledger, bookings or both");
  bool poll_only = false;
  settings.AddSwitch("poll-only", poll_only,
                     "let every VM poll the store in place of signals");
  if (const auto exit_code = settings.Parse(argument_count, arguments)) {
    return *exit_code;
  }
  const laburnumkeel::kernel::ShutdownSignal signal;
  bool succeeded = true;
  Deployment ledger = laburnumkeel::standin::PolishingLedger(11);
  Deployment bookings = laburnumkeel::standin::FloorflowBookings(12);
  ledger.poll_only = poll_only;
  bookings.poll_only = poll_only;
  if (deployment != "bookings") {
    succeeded &= RunDeployment(ledger, scenario, binaries, logs, signal);
  }
  if (deployment != "ledger") {
    succeeded &= RunDeployment(bookings, scenario, binaries, logs, signal);
  }
  return succeeded ? 0 : 1;
}
