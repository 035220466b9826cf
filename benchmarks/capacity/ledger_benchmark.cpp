#include "benchmarks/capacity/ledger_benchmark.h"

#include <iostream>
#include <string>
#include <vector>

#include "benchmarks/capacity/series.h"
#include "benchmarks/capacity/thread_time.h"
#include "laburnumkeel/limits/ledger_round.h"
#include "tests/support/fake_table.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::benchmarks {

namespace {

constexpr int kBatches = 5;
constexpr double kRate = 1000.0 / 3;
constexpr double kBurst = 100;
constexpr double kReserveFraction = 0.4;

// Stands for an entry program that applies every offer immediately.
class ImmediateRecipient {
 public:
  void Offer(const std::vector<limits::Share>& shares) { Keep(shares); }
  bool Confirm() const { return true; }
};

std::string AccountName(int account) {
  return "account-" + std::to_string(account);
}

limits::FleetLimits MakeLimits(int vms, int accounts) {
  limits::FleetLimits limits{1, vms, {}};
  for (int account = 0; account < accounts; ++account) {
    limits.accounts.push_back(
        limits::AccountLimit{AccountName(account), {kRate, kBurst}});
  }
  return limits;
}

// Every VM has an equal part of each account's rate and burst.
limits::ShareLedger MakeLedger(int vms, int accounts) {
  limits::ShareLedger ledger;
  const limits::ShareAmount part{kRate / vms, kBurst / vms};
  const limits::ShareAmount reserve{part.rate * kReserveFraction,
                                    part.burst * kReserveFraction};
  for (int vm = 1; vm < vms; ++vm) {
    const std::string name = "vm" + std::to_string(vm);
    limits::LedgerEntry entry{name, name + "-0123456789abcdef", 1, 1, {}};
    for (int account = 0; account < accounts; ++account) {
      entry.accounts[AccountName(account)] =
          limits::AccountShares{part - reserve, reserve, part.rate / 2};
    }
    ledger.entries.push_back(entry);
  }
  return ledger;
}

void MeasureSize(int vms, int accounts, Series& series) {
  testing::FakeTable table;
  const auto seeded = table.Commit(platform::TableTransaction{
      "seed",
      {},
      {platform::RowWrite{limits::kLedgerKey,
                          limits::EncodeLedger(MakeLedger(vms, accounts))}}});
  Keep(seeded);
  ImmediateRecipient recipient;
  limits::LedgerSettings settings;
  settings.vm = "vm0";
  settings.incarnation = "vm0-0123456789abcdef";
  // The manual clock does not advance, so the entries of the other VMs do not
  // expire.
  limits::LedgerRound<testing::ManualClock, testing::FakeTable,
                      ImmediateRecipient>
      round(settings, testing::ManualClock(), table, recipient);
  const limits::FleetLimits limits = MakeLimits(vms, accounts);
  std::vector<limits::AccountDemand> demands;
  for (int account = 0; account < accounts; ++account) {
    demands.push_back(
        limits::AccountDemand{AccountName(account), kRate / vms / 2});
  }
  // The first rounds acquire the shares of vm0; the measured rounds renew them.
  round.Run(limits, demands);
  round.Run(limits, demands);
  bool is_committed = true;
  const double time = MedianMicroseconds(kBatches, 1, [&] {
    is_committed = is_committed && round.Run(limits, demands).outcome ==
                                       limits::RoundOutcome::kCommitted;
  });
  if (!is_committed) {
    std::cout << "a round with " << vms << " VMs was not committed\n";
  }
  const auto row = table.Read(limits::kLedgerKey);
  series.Add("row, bytes", vms, static_cast<double>(row.value().value.size()));
  series.Add("round, us", vms, time);
}

}  // namespace

void MeasureLedger() {
  for (const int accounts : {8, 64}) {
    Series series(
        "share ledger with " + std::to_string(accounts) + " client accounts",
        "VMs");
    for (const int vms : {8, 32, 128, 512}) {
      MeasureSize(vms, accounts, series);
    }
    series.Print();
  }
}

}  // namespace laburnumkeel::benchmarks
