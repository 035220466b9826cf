#ifndef LABURNUMKEEL_TESTS_LIMITS_FLEET_SIMULATION_H_
#define LABURNUMKEEL_TESTS_LIMITS_FLEET_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "laburnumkeel/limits/account_limiter.h"
#include "laburnumkeel/limits/ledger_round.h"
#include "tests/limits/account_record.h"
#include "tests/limits/fiber.h"
#include "tests/support/fake_table.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::limits {

// The proxy's policy, and reference policies for comparison. The first three
// references have a known fault.
enum class Policy {
  kLedger,
  // Uses its fair target before the ledger shows it.
  kUsesTargetAtOnce,
  // Never checks the expiry of a share.
  kIgnoresExpiry,
  // Assumes that a lower share is confirmed without waiting for the entry
  // program.
  kAssumesConfirmation,
  // An eighth of every limit on each VM.
  kStaticEighths,
};

struct SimulationOptions {
  Policy policy = Policy::kLedger;
  std::uint32_t seed = 1;
  std::vector<ShareAmount> limits;
  // Requests a second of an account on a VM at a time in seconds.
  std::function<double(std::size_t account, std::size_t vm, double seconds)>
      demand;
  ShareLifetimes lifetimes;
  // Average time between faults of one VM: pauses, replacements and network
  // partitions. If not 0, some writes and exchanges are also lost or delayed.
  double fault_interval_seconds = 0;
  // Largest deviation of the speed of a VM's clock from real time, as a
  // fraction.
  double clock_drift = 0;
  // Requests before this time are not recorded.
  double record_from_seconds = 0;
};

// Simulates 8 VMs that share one table, each with a control program, an entry
// program and its own clock. Time advances in steps of 20 ms; requests arrive
// at any time in between. Store calls take about 40 ms; the entry program
// exchanges shares every 100 ms.
class FleetSimulation {
 public:
  explicit FleetSimulation(SimulationOptions options);
  ~FleetSimulation();

  void RunFor(double seconds);
  // The limits that a VM applies from now on.
  void Configure(std::size_t vm, std::uint64_t version,
                 const std::vector<ShareAmount>& limits);
  void Kill(std::size_t vm);
  // Clears the records and compares with other limits from now on.
  void ResetRecords(const std::vector<ShareAmount>& limits);

  const std::vector<AccountRecord>& Records() const { return this->records; }
  std::int64_t Commits() const { return this->commits; }
  std::int64_t Conflicts() const { return this->conflicts; }
  // True when the shares in the ledger are within the first limits.
  bool IsLedgerWithinLimits();

 private:
  using Limiter = AccountLimiter<testing::ManualClock>;
  struct Link;
  struct Entry;
  struct Control;
  struct Vm;
  class Store;
  class Recipient;

  // A request that arrives or waits.
  struct Request {
    double due_ms;
    double arrived_ms;
    std::size_t account;
    bool is_waiting;
    bool is_within;
  };

  static constexpr std::size_t kVms = 8;

  void Step();
  void StartEntry(Vm& vm);
  void StartControl(Vm& vm);
  void RunControl(Vm& vm, Control& control, Fiber& fiber);
  void Exchange(Vm& vm);
  void SendRequests(std::size_t index, Vm& vm);
  // True when the request waits; `due_ms` is then the time of its retry.
  bool Handle(Vm& vm, Request& request, double now);
  static void Advance(Vm& vm, double milliseconds);
  void RecordStep();
  void InjectFaults(Vm& vm);
  void ApplyLateWrites();
  bool Chance(double probability);
  std::int64_t Random(std::int64_t low, std::int64_t high);
  double Seconds() const { return static_cast<double>(this->now_ms) / 1000; }

  SimulationOptions options;
  std::mt19937 random;
  std::int64_t now_ms = 0;
  std::int64_t incarnations = 0;
  std::int64_t commits = 0;
  std::int64_t conflicts = 0;
  testing::FakeTable table;
  struct LateWrite {
    std::int64_t due_ms;
    platform::TableTransaction transaction;
  };
  std::vector<LateWrite> late_writes;
  struct Pass {
    double at_ms;
    double waited_ms;
    std::size_t account;
  };
  std::vector<Pass> passes;
  std::vector<AccountRecord> records;
  std::vector<std::unique_ptr<Vm>> vms;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_TESTS_LIMITS_FLEET_SIMULATION_H_
