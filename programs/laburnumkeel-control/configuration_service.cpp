#include "programs/laburnumkeel-control/configuration_service.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/model/configuration_codec.h"
#include "programs/laburnumkeel-control/events.h"

namespace laburnumkeel::control {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStepInterval{50};
constexpr kernel::Duration kVmListInterval = std::chrono::seconds(10);
// Until the list has been read once, the VM knows no peers and counts as
// isolated.
constexpr kernel::Duration kVmListRetryInterval =
    std::chrono::milliseconds(500);
constexpr kernel::Duration kPollOnlyInterval = std::chrono::seconds(1);
constexpr kernel::Duration kStartupReadInterval = std::chrono::seconds(1);
// Each VM that adopts a version signals this many others, so that a version
// reaches n VMs in about log3(n) steps and no VM has to call all of them.
constexpr std::size_t kSignalledPeers = 3;
// Longer than the 4 s for which a failed VM still counts as a contact of its
// data centre.
constexpr kernel::Duration kDistributionTimeout = std::chrono::seconds(5);

std::vector<membership::VmRecord> ToRecords(
    const std::vector<platform::ListedVm>& listed) {
  std::vector<membership::VmRecord> records;
  for (const platform::ListedVm& vm : listed) {
    records.push_back(membership::VmRecord{
        vm.name, vm.data_centre, vm.control_address, vm.entry_address,
        vm.state == platform::ListedState::kDeparting});
  }
  return records;
}

peer::generated::SubmitResult MakeResult(const std::string& result,
                                         std::uint64_t version,
                                         std::vector<std::string> faults) {
  peer::generated::SubmitResult submit;
  submit.result = result;
  submit.version = static_cast<std::int64_t>(version);
  submit.faults = std::move(faults);
  return submit;
}

}  // namespace

ConfigurationService::ConfigurationService(const ControlSettings& settings,
                                           FleetState& state, PeerCaller& peers,
                                           platform::SharedTable table)
    : settings(settings),
      state(state),
      peers(peers),
      table(std::move(table)),
      store(this->table),
      vm_list(settings.platform, settings.vm + "/" + settings.data_centre,
              milliseconds(settings.platform_timeout_ms)),
      last_vm_list(this->clock.Now() - kVmListInterval),
      last_poll(this->clock.Now()),
      last_startup_read(this->clock.Now() - kStartupReadInterval),
      task([this] { return this->Step(); }) {}

bool ConfigurationService::Start() {
  this->task.Start();
  return true;
}

void ConfigurationService::Stop() { this->task.Stop(); }

kernel::Duration ConfigurationService::Step() {
  const kernel::Instant now = this->clock.Now();
  if (now - this->last_vm_list >=
      (this->has_vm_list ? kVmListInterval : kVmListRetryInterval)) {
    this->last_vm_list = now;
    this->ReadVmList();
  }
  const bool is_starting = !this->state.IsReady();
  if (is_starting && now - this->last_startup_read >= kStartupReadInterval) {
    this->last_startup_read = now;
    this->ReadStore();
  } else if (this->IsPollDue(now)) {
    this->ReadStore();
  }
  if (this->settings.poll_only) {
    return kStepInterval;
  }
  if (const auto plan = this->state.NextFetch()) {
    this->Fetch(*plan);
  }
  if (this->state.Configuration()->version > this->signalled_version) {
    this->SignalPeers();
  }
  return kStepInterval;
}

bool ConfigurationService::IsPollDue(kernel::Instant now) {
  if (!this->settings.poll_only) {
    return this->state.IsPollDue();
  }
  if (now - this->last_poll < kPollOnlyInterval) {
    return false;
  }
  this->last_poll = now;
  return true;
}

void ConfigurationService::ReadStore() {
  const kernel::Instant sent = this->clock.Now();
  auto read = this->store.Read();
  if (read.has_value()) {
    this->state.OnStoreRead(std::move(read.value()), sent);
  }
}

void ConfigurationService::ReadVmList() {
  const auto listed = this->vm_list.List();
  if (listed.has_value()) {
    this->has_vm_list = true;
    this->state.SetListedVms(ToRecords(listed.value()));
  }
}

void ConfigurationService::Fetch(const configuration::FetchPlan& plan) {
  if (plan.source == configuration::FetchSource::kStore) {
    this->ReadStore();
    return;
  }
  const auto copy = this->peers.Fetch(plan.address, plan.version);
  if (!copy.has_value()) {
    kernel::LogEvent(kFetchFailed, {{"peer", plan.address},
                                    {"version", plan.version},
                                    {"reason", copy.error().message}});
    return;
  }
  auto decoded = model::DecodeConfiguration(copy.value().document);
  if (!decoded.has_value()) {
    kernel::LogEvent(kFetchFailed, {{"peer", plan.address},
                                    {"version", plan.version},
                                    {"reason", decoded.error().message}});
    return;
  }
  this->state.Adopt(std::move(decoded.value()), plan.address);
}

void ConfigurationService::SignalPeers() {
  this->signalled_version = this->state.Configuration()->version;
  std::vector<membership::VmRecord> callable = this->state.Peers();
  std::shuffle(callable.begin(), callable.end(),
               std::mt19937(std::random_device{}()));
  callable.resize(std::min(callable.size(), kSignalledPeers));
  for (const membership::VmRecord& vm : callable) {
    this->peers.Signal(vm.control_address, this->signalled_version,
                       this->settings.peer_listen);
  }
}

peer::generated::SubmitResult ConfigurationService::Submit(
    const std::string& document, std::uint64_t base_version,
    const std::string& operation_id) {
  auto decoded = model::DecodeConfiguration(document);
  if (!decoded.has_value()) {
    return MakeResult("invalid", 0, {decoded.error().message});
  }
  const auto before = this->state.Configuration();
  // VMs that cannot reach the store rely on this check to continue serving:
  // while they are in contact with a majority of data centres, no change can
  // be accepted without that majority.
  if (before->version > 0 && !this->state.HasMajorityContact()) {
    kernel::LogEvent(kSubmitRefused, {{"operation_id", operation_id},
                                      {"reason", "no_majority_contact"}});
    return MakeResult("store_unavailable", 0,
                      {"this VM is not in contact with a majority of data "
                       "centres"});
  }
  const configuration::Proposal proposal = this->store.Propose(
      std::move(decoded.value()), base_version, operation_id);
  if (proposal.result != configuration::ProposalResult::kAccepted) {
    // After a conflict the caller needs the version that was accepted instead.
    if (proposal.current.has_value()) {
      this->state.Adopt(*proposal.current, "conflict");
    }
    std::vector<std::string> faults;
    for (const configuration::Fault& fault : proposal.faults) {
      faults.push_back(configuration::ToString(fault));
    }
    return MakeResult(configuration::ToString(proposal.result),
                      proposal.version, std::move(faults));
  }
  if (proposal.current.has_value() &&
      !this->Distribute(*proposal.current, before->data_centres)) {
    kernel::LogEvent(kSubmitUndistributed, {{"operation_id", operation_id},
                                            {"version", proposal.version}});
    return MakeResult("unknown", proposal.version,
                      {"the change is in the store and was not confirmed by a "
                       "majority of data centres in time"});
  }
  return MakeResult("accepted", proposal.version, {});
}

bool ConfigurationService::Distribute(
    const model::Configuration& accepted,
    const std::vector<model::DataCentre>& data_centres_before) {
  this->state.Adopt(accepted, "submit");
  const kernel::Instant deadline = this->clock.Now() + kDistributionTimeout;
  if (!this->settings.poll_only) {
    for (const membership::VmRecord& vm : this->state.Peers()) {
      this->peers.Signal(vm.control_address, accepted.version,
                         this->settings.peer_listen);
    }
  }
  while (this->clock.Now() < deadline) {
    if ((data_centres_before.empty() ||
         this->state.IsHeldByMajority(accepted.version, data_centres_before)) &&
        this->state.IsHeldByMajority(accepted.version, accepted.data_centres)) {
      return true;
    }
    for (const membership::VmRecord& vm : this->state.Peers()) {
      this->peers.Exchange(vm.control_address);
    }
    std::this_thread::sleep_for(kStepInterval);
  }
  return false;
}

}  // namespace laburnumkeel::control
