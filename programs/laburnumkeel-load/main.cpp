#include <iostream>
#include <nlohmann/json.hpp>

#include "laburnumkeel/kernel/settings.h"
#include "programs/laburnumkeel-load/load_generator.h"

namespace {

using laburnumkeel::load::LoadPlan;
using laburnumkeel::load::Spread;

constexpr int kUsageExitCode = 2;

int Fail(const std::string& message) {
  std::cerr << "laburnumkeel-load: " << message << '\n';
  return kUsageExitCode;
}

}  // namespace

// Sends load to the entry programs of a fleet and prints the results.
int main(int argument_count, char** arguments) {
  LoadPlan plan;
  std::string targets;
  std::string groups = "g1,g2,g3";
  std::string accounts;
  std::string spread = "roaming";
  std::int64_t duration_s = 10;
  std::int64_t warm_up_s = 5;
  std::int64_t workers = plan.workers;
  std::int64_t read_percent = plan.read_percent;
  std::int64_t seed = 1;
  bool as_json = false;
  laburnumkeel::kernel::Settings settings(
      "laburnumkeel-load", "Load generator for laburnumkeel entry programs");
  settings.AddText("targets", targets, 1,
                   "addresses of entry programs, IP:port,...");
  settings.AddText("service", plan.service, 1, "name of the service");
  settings.AddText("groups", groups, 1, "groups of the service");
  settings.AddSecret("accounts", accounts, 1,
                     "client accounts, name:key:rate:burst:factor,...");
  settings.AddText("spread", spread, 1,
                   "how accounts reach VMs: roaming, one_vm or moving");
  settings.AddInteger("duration-s", duration_s, 1, 3600, "seconds",
                      "time in which requests are counted");
  settings.AddInteger("warm-up-s", warm_up_s, 0, 600, "seconds",
                      "time before that, in which requests are not counted");
  settings.AddInteger("workers", workers, 1, 512, "threads",
                      "maximum number of requests in flight");
  settings.AddInteger("read-percent", read_percent, 0, 100, "percent",
                      "share of reads");
  settings.AddInteger("seed", seed, 0, 1000000, "(number)",
                      "seed of the request sequence");
  settings.AddSwitch("json", as_json, "print JSON in place of a table");
  if (const auto exit_code = settings.Parse(argument_count, arguments)) {
    return *exit_code;
  }
  const auto parsed = laburnumkeel::load::ParseAccounts(accounts);
  if (!parsed.has_value()) {
    return Fail(parsed.error());
  }
  if (spread != "roaming" && spread != "one_vm" && spread != "moving") {
    return Fail("--spread: value '" + spread +
                "', allowed roaming, one_vm or moving");
  }
  plan.accounts = parsed.value();
  plan.targets = laburnumkeel::load::SplitList(targets);
  plan.groups = laburnumkeel::load::SplitList(groups);
  plan.spread = spread == "roaming"  ? Spread::kRoaming
                : spread == "one_vm" ? Spread::kOneVm
                                     : Spread::kMoving;
  plan.duration = std::chrono::seconds(duration_s);
  plan.warm_up = std::chrono::seconds(warm_up_s);
  plan.workers = static_cast<int>(workers);
  plan.read_percent = static_cast<int>(read_percent);
  plan.seed = static_cast<unsigned int>(seed);
  laburnumkeel::load::LoadReport report;
  laburnumkeel::load::RunLoad(plan, report);
  if (as_json) {
    std::cout << report.ToJson().dump(2) << '\n';
  } else {
    std::cout << report.ToTable();
  }
  return 0;
}
