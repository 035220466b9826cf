#include "tests/limits/fleet_simulation.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "laburnumkeel/limits/share_plan.h"

namespace laburnumkeel::limits {

namespace {

constexpr std::int64_t kStepMs = 20;
constexpr std::int64_t kExchangeMs = 100;
constexpr std::int64_t kConfirmMs = 300;

std::string NameOf(std::size_t account) {
  return "account" + std::to_string(account);
}

FleetLimits LimitsFrom(std::uint64_t version,
                       const std::vector<ShareAmount>& amounts) {
  FleetLimits limits{version, 8, {}};
  for (std::size_t account = 0; account < amounts.size(); ++account) {
    limits.accounts.push_back(AccountLimit{NameOf(account), amounts[account]});
  }
  return limits;
}

}  // namespace

// The connection between the control and the entry program of a VM.
struct FleetSimulation::Link {
  std::int64_t revision = 0;
  std::int64_t acknowledged = 0;
  std::vector<Share> shares;
  std::vector<AccountDemand> demands;
};

struct FleetSimulation::Entry {
  explicit Entry(const testing::ManualClock& clock) : limiter(clock) {}

  Limiter limiter;
  std::vector<Request> requests;
  // The exchange in progress: a response that is applied at `apply_ms`.
  std::shared_ptr<Link> link;
  std::int64_t revision = 0;
  std::vector<Share> shares;
  std::int64_t apply_ms = 0;
  bool is_applying = false;
  std::int64_t applied_revision = 0;
  std::int64_t next_exchange_ms = 0;
};

struct FleetSimulation::Vm {
  std::string name;
  testing::ManualClock clock;
  double speed = 1;
  FleetLimits limits;
  std::unique_ptr<Entry> entry;
  std::unique_ptr<Control> control;
  std::int64_t entry_paused_until_ms = 0;
  std::int64_t control_paused_until_ms = 0;
  std::int64_t partitioned_until_ms = 0;
  std::int64_t start_ms = 0;
  bool is_dead = false;
  bool is_leaving = false;
};

class FleetSimulation::Store {
 public:
  Store(FleetSimulation& simulation, Vm& vm, Control& control)
      : simulation(simulation), vm(vm), control(control) {}

  kernel::Result<platform::TableRow, platform::PlatformError> Read(
      const std::string& key);
  kernel::Result<platform::TransactionResult, platform::PlatformError> Commit(
      const platform::TableTransaction& transaction);

 private:
  bool IsPartitioned() const;
  void SimulateNetworkDelay();
  void UseTargets(const ShareLedger& ledger);

  FleetSimulation& simulation;
  Vm& vm;
  Control& control;
};

class FleetSimulation::Recipient {
 public:
  Recipient(FleetSimulation& simulation, Vm& vm, Control& control)
      : simulation(simulation), vm(vm), control(control) {}

  void Offer(const std::vector<Share>& shares);
  bool Confirm();

 private:
  FleetSimulation& simulation;
  Vm& vm;
  Control& control;
};

struct FleetSimulation::Control {
  Control(FleetSimulation& simulation, Vm& vm, const LedgerSettings& settings)
      : store(simulation, vm, *this),
        recipient(simulation, vm, *this),
        round(settings, vm.clock, store, recipient) {}

  std::shared_ptr<Link> link = std::make_shared<Link>();
  std::string incarnation;
  Store store;
  Recipient recipient;
  LedgerRound<testing::ManualClock, Store, Recipient> round;
  // Declared last, so that it is destroyed before the members that it uses.
  std::unique_ptr<Fiber> fiber;
};

bool FleetSimulation::Store::IsPartitioned() const {
  return this->simulation.now_ms < this->vm.partitioned_until_ms;
}

void FleetSimulation::Store::SimulateNetworkDelay() {
  const std::int64_t arrival_ms =
      this->simulation.now_ms + this->simulation.Random(5, 10);
  this->control.fiber->WaitFor(
      [this, arrival_ms] { return this->simulation.now_ms >= arrival_ms; });
}

kernel::Result<platform::TableRow, platform::PlatformError>
FleetSimulation::Store::Read(const std::string& key) {
  this->SimulateNetworkDelay();
  auto row = this->simulation.table.Read(key);
  this->SimulateNetworkDelay();
  if (this->IsPartitioned()) {
    return platform::PlatformError{platform::PlatformFailure::kUnknown,
                                   "VM partitioned from the store"};
  }
  return row;
}

kernel::Result<platform::TransactionResult, platform::PlatformError>
FleetSimulation::Store::Commit(const platform::TableTransaction& transaction) {
  FleetSimulation& fleet = this->simulation;
  if (fleet.options.policy == Policy::kUsesTargetAtOnce && this->vm.entry) {
    this->UseTargets(DecodeLedger(transaction.writes[0].value).value());
  }
  const bool has_faults = fleet.options.fault_interval_seconds > 0;
  if (this->IsPartitioned()) {
    return platform::PlatformError{platform::PlatformFailure::kUnavailable,
                                   "VM partitioned from the store"};
  }
  if (has_faults && fleet.Chance(0.03)) {
    fleet.late_writes.push_back(
        LateWrite{fleet.now_ms + fleet.Random(10, 3000), transaction});
    this->SimulateNetworkDelay();
    return platform::PlatformError{platform::PlatformFailure::kUnknown,
                                   "write delayed"};
  }
  this->SimulateNetworkDelay();
  const auto result = fleet.table.Commit(transaction);
  fleet.commits += result.value().committed ? 1 : 0;
  fleet.conflicts += result.value().committed ? 0 : 1;
  this->SimulateNetworkDelay();
  if (has_faults && fleet.Chance(0.05)) {
    return platform::PlatformError{platform::PlatformFailure::kUnknown,
                                   "response lost"};
  }
  return result;
}

void FleetSimulation::Store::UseTargets(const ShareLedger& ledger) {
  const kernel::Instant expiry =
      this->vm.clock.Now() + this->simulation.options.lifetimes.dynamic;
  std::vector<Share> shares;
  for (const AccountLimit& limit : this->vm.limits.accounts) {
    PlanInput input{limit.limit, {}, {}, {}, 8, 0};
    for (const LedgerEntry& entry : ledger.entries) {
      input.active.push_back(
          VmDemand{entry.incarnation, SharesOf(entry, limit.account).demand});
    }
    shares.push_back(Share{limit.account, ShareKind::kDynamic,
                           Total(PlanShares(input, this->control.incarnation)),
                           expiry});
  }
  this->vm.entry->limiter.Apply(shares);
}

void FleetSimulation::Recipient::Offer(const std::vector<Share>& shares) {
  this->control.link->revision += 1;
  this->control.link->shares = shares;
}

bool FleetSimulation::Recipient::Confirm() {
  if (this->simulation.options.policy == Policy::kAssumesConfirmation ||
      this->vm.is_leaving) {
    return true;
  }
  Link& link = *this->control.link;
  const std::int64_t deadline_ms = this->simulation.now_ms + kConfirmMs;
  const std::int64_t revision = link.revision;
  this->control.fiber->WaitFor([this, &link, deadline_ms, revision] {
    return link.acknowledged == revision ||
           this->simulation.now_ms >= deadline_ms;
  });
  return link.acknowledged == revision;
}

FleetSimulation::FleetSimulation(SimulationOptions options)
    : options(std::move(options)), random(this->options.seed) {
  this->ResetRecords(this->options.limits);
  for (std::size_t index = 0; index < kVms; ++index) {
    auto vm = std::make_unique<Vm>();
    vm->name = "vm" + std::to_string(index);
    vm->clock.Advance(std::chrono::seconds(this->Random(0, 100000)));
    vm->speed = 1 + this->options.clock_drift *
                        static_cast<double>(this->Random(-1000, 1000)) / 1000;
    vm->limits = LimitsFrom(1, this->options.limits);
    this->StartEntry(*vm);
    this->StartControl(*vm);
    this->vms.push_back(std::move(vm));
  }
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::RunFor(double seconds) {
  const std::int64_t end_ms =
      this->now_ms + static_cast<std::int64_t>(seconds * 1000);
  while (this->now_ms < end_ms) {
    this->Step();
  }
}

void FleetSimulation::Configure(std::size_t vm, std::uint64_t version,
                                const std::vector<ShareAmount>& limits) {
  this->vms[vm]->limits = LimitsFrom(version, limits);
}

void FleetSimulation::Kill(std::size_t vm) {
  this->vms[vm]->is_dead = true;
  this->vms[vm]->entry.reset();
  this->vms[vm]->control.reset();
}

void FleetSimulation::ResetRecords(const std::vector<ShareAmount>& limits) {
  this->records.clear();
  for (const ShareAmount& limit : limits) {
    this->records.emplace_back(limit);
  }
}

bool FleetSimulation::IsLedgerWithinLimits() {
  const auto row = this->table.Read(kLedgerKey);
  return row.value().version == 0 ||
         IsWithinLimits(DecodeLedger(row.value().value).value(),
                        LimitsFrom(1, this->options.limits).accounts);
}

void FleetSimulation::Step() {
  this->now_ms += kStepMs;
  this->ApplyLateWrites();
  for (const auto& vm : this->vms) {
    if (this->options.fault_interval_seconds > 0) {
      this->InjectFaults(*vm);
    }
  }
  for (std::size_t index = 0; index < kVms; ++index) {
    Vm& vm = *this->vms[index];
    if (vm.entry && this->now_ms >= vm.entry_paused_until_ms) {
      this->Exchange(vm);
      this->SendRequests(index, vm);
    } else {
      this->Advance(vm, kStepMs);
    }
    if (vm.control && this->now_ms >= vm.control_paused_until_ms) {
      vm.control->fiber->RunIfReady();
    }
  }
  this->RecordStep();
}

void FleetSimulation::StartEntry(Vm& vm) {
  vm.entry = std::make_unique<Entry>(vm.clock);
  vm.entry->next_exchange_ms = this->now_ms + this->Random(0, kExchangeMs);
  if (this->options.policy == Policy::kStaticEighths) {
    std::vector<Share> shares;
    for (const AccountLimit& limit : vm.limits.accounts) {
      shares.push_back(
          Share{limit.account, ShareKind::kReserve,
                ShareAmount{limit.limit.rate / kVms, limit.limit.burst / kVms},
                kernel::Instant::max()});
    }
    vm.entry->limiter.Apply(shares);
  }
}

void FleetSimulation::StartControl(Vm& vm) {
  if (this->options.policy == Policy::kStaticEighths) {
    return;
  }
  this->incarnations += 1;
  const std::string incarnation = std::to_string(this->incarnations);
  vm.control = std::make_unique<Control>(
      *this, vm,
      LedgerSettings{vm.name, incarnation, this->options.lifetimes, 0.4});
  vm.control->incarnation = incarnation;
  vm.control->fiber = std::make_unique<Fiber>(
      [this, &vm, control = vm.control.get()](Fiber& fiber) {
        this->RunControl(vm, *control, fiber);
      });
}

void FleetSimulation::RunControl(Vm& vm, Control& control, Fiber& fiber) {
  const std::int64_t first_ms = this->now_ms + this->Random(0, 1000);
  fiber.WaitFor([this, first_ms] { return this->now_ms >= first_ms; });
  while (!vm.is_leaving) {
    const std::int64_t start_ms = this->now_ms;
    const RoundReport report =
        control.round.Run(vm.limits, control.link->demands);
    const std::int64_t delay_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            NextRoundDelay(report,
                           static_cast<double>(this->Random(0, 999)) / 1000))
            .count();
    // A retry after a conflict always waits for its random delay.
    const bool is_conflict = report.outcome == RoundOutcome::kConflict;
    const std::int64_t next_ms =
        (is_conflict ? this->now_ms : start_ms) + delay_ms;
    const std::int64_t early_ms =
        is_conflict
            ? next_ms
            : start_ms + std::chrono::duration_cast<std::chrono::milliseconds>(
                             kShortestRound)
                             .count();
    fiber.WaitFor([this, &vm, &control, next_ms, early_ms] {
      return this->now_ms >= next_ms || vm.is_leaving ||
             (this->now_ms >= early_ms &&
              control.round.NeedsEarlyRound(control.link->demands));
    });
  }
  // Graceful shutdown. The entry program has already ended.
  for (int attempt = 0;
       attempt < 5 && control.round.Release() != RoundOutcome::kCommitted;
       ++attempt) {
    const std::int64_t retry_ms = this->now_ms + this->Random(10, 100);
    fiber.WaitFor([this, retry_ms] { return this->now_ms >= retry_ms; });
  }
}

void FleetSimulation::Exchange(Vm& vm) {
  Entry& entry = *vm.entry;
  if (entry.is_applying) {
    if (this->now_ms < entry.apply_ms) {
      return;
    }
    entry.is_applying = false;
    entry.applied_revision = entry.revision;
    std::vector<Share> shares = entry.shares;
    if (this->options.policy == Policy::kIgnoresExpiry) {
      for (Share& share : shares) {
        share.expiry = kernel::Instant::max();
      }
    }
    entry.limiter.Apply(shares);
  }
  if (this->now_ms < entry.next_exchange_ms || !vm.control ||
      this->now_ms < vm.control_paused_until_ms) {
    return;
  }
  entry.next_exchange_ms = this->now_ms + kExchangeMs;
  const std::shared_ptr<Link> link = vm.control->link;
  link->demands = entry.limiter.Demand();
  if (entry.link == link) {
    link->acknowledged = entry.applied_revision;
  }
  const bool has_faults = this->options.fault_interval_seconds > 0;
  if (has_faults && this->Chance(0.05)) {
    // The response is lost.
    return;
  }
  if (link->revision == 0) {
    return;
  }
  if (entry.link != link) {
    entry.link = link;
    entry.applied_revision = 0;
  }
  entry.revision = link->revision;
  entry.shares = link->shares;
  entry.is_applying = true;
  const bool is_late = has_faults && this->Chance(0.05);
  entry.apply_ms = this->now_ms + (is_late ? this->Random(0, 3000) : 0);
}

void FleetSimulation::SendRequests(std::size_t index, Vm& vm) {
  const auto start_ms = static_cast<double>(this->now_ms);
  std::vector<Request>& requests = vm.entry->requests;
  for (std::size_t account = 0; account < this->records.size(); ++account) {
    const double rate = this->options.demand(account, index, this->Seconds());
    if (rate <= 0) {
      continue;
    }
    std::exponential_distribution<double> gap_ms(rate / 1000);
    for (double at = gap_ms(this->random); at < kStepMs;
         at += gap_ms(this->random)) {
      requests.push_back(
          Request{start_ms + at, start_ms + at, account, false, false});
    }
  }
  const auto is_later = [](const Request& left, const Request& right) {
    return left.due_ms > right.due_ms;
  };
  std::make_heap(requests.begin(), requests.end(), is_later);
  double clock_ms = start_ms;
  while (!requests.empty() && requests.front().due_ms < start_ms + kStepMs) {
    std::pop_heap(requests.begin(), requests.end(), is_later);
    Request request = requests.back();
    requests.pop_back();
    const double now = std::max(clock_ms, request.due_ms);
    this->Advance(vm, now - clock_ms);
    clock_ms = now;
    if (this->Handle(vm, request, now)) {
      requests.push_back(request);
      std::push_heap(requests.begin(), requests.end(), is_later);
    }
  }
  this->Advance(vm, start_ms + kStepMs - clock_ms);
}

bool FleetSimulation::Handle(Vm& vm, Request& request, double now) {
  const std::string& name = vm.limits.accounts[request.account].account;
  const bool is_recorded =
      request.arrived_ms >= this->options.record_from_seconds * 1000;
  AccountRecord& record = this->records[request.account];
  Limiter& limiter = vm.entry->limiter;
  LimitDecision decision;
  if (request.is_waiting) {
    decision = limiter.Retry(name, kernel::Duration(static_cast<std::int64_t>(
                                       (now - request.arrived_ms) * 1e6)));
  } else {
    request.is_within = is_recorded && record.Arrive(now / 1000);
    decision = this->options.policy == Policy::kStaticEighths
                   ? limiter.TryTake(name)
                   : limiter.TakeOrWait(name);
  }
  if (decision.is_allowed) {
    if (is_recorded) {
      this->passes.push_back(
          Pass{now, now - request.arrived_ms, request.account});
    }
    return false;
  }
  if (decision.retry_after.count() == 0) {
    record.Refuse(request.is_within);
    return false;
  }
  request.is_waiting = true;
  request.due_ms =
      now + static_cast<double>(decision.retry_after.count()) / 1e6;
  return true;
}

void FleetSimulation::Advance(Vm& vm, double milliseconds) {
  vm.clock.Advance(kernel::Duration(
      static_cast<std::int64_t>(milliseconds * 1'000'000 * vm.speed)));
}

void FleetSimulation::RecordStep() {
  std::sort(this->passes.begin(), this->passes.end(),
            [](const Pass& left, const Pass& right) {
              return left.at_ms < right.at_ms;
            });
  for (const Pass& pass : this->passes) {
    this->records[pass.account].Pass(pass.at_ms / 1000, pass.waited_ms / 1000);
  }
  this->passes.clear();
}

void FleetSimulation::InjectFaults(Vm& vm) {
  if (vm.is_leaving && vm.control && vm.control->fiber->IsFinished()) {
    vm.control.reset();
    vm.is_leaving = false;
    vm.is_dead = true;
    vm.start_ms = this->now_ms + this->Random(0, 3000);
  }
  if (vm.is_dead) {
    if (this->now_ms >= vm.start_ms) {
      vm.is_dead = false;
      this->StartEntry(vm);
      this->StartControl(vm);
    }
    return;
  }
  if (vm.is_leaving) {
    return;
  }
  if (!this->Chance(kStepMs / 1000.0 / this->options.fault_interval_seconds)) {
    return;
  }
  switch (this->Random(0, 7)) {
    case 0:
      vm.control_paused_until_ms = this->now_ms + this->Random(10, 15000);
      return;
    case 1:
      vm.entry_paused_until_ms = this->now_ms + this->Random(10, 15000);
      return;
    case 2:
      vm.entry_paused_until_ms = this->now_ms + this->Random(10, 15000);
      vm.control_paused_until_ms = vm.entry_paused_until_ms;
      return;
    case 3:
      vm.partitioned_until_ms = this->now_ms + this->Random(10, 30000);
      return;
    case 4:
      this->StartEntry(vm);
      return;
    case 5:
      vm.control.reset();
      this->StartControl(vm);
      return;
    case 6:
      vm.entry.reset();
      vm.control.reset();
      vm.is_dead = true;
      vm.start_ms = this->now_ms + this->Random(0, 5000);
      return;
    default:
      vm.entry.reset();
      vm.is_leaving = vm.control != nullptr;
      vm.is_dead = vm.control == nullptr;
  }
}

void FleetSimulation::ApplyLateWrites() {
  std::erase_if(this->late_writes, [this](const LateWrite& write) {
    if (write.due_ms > this->now_ms) {
      return false;
    }
    this->commits +=
        this->table.Commit(write.transaction).value().committed ? 1 : 0;
    return true;
  });
}

bool FleetSimulation::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) <
         probability;
}

std::int64_t FleetSimulation::Random(std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
}

}  // namespace laburnumkeel::limits
