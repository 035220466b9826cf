#ifndef LABURNUMKEEL_TESTS_CONFIGURATION_SIMULATED_FLEET_H_
#define LABURNUMKEEL_TESTS_CONFIGURATION_SIMULATED_FLEET_H_

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/configuration/configuration_holder.h"
#include "laburnumkeel/configuration/configuration_sync.h"
#include "laburnumkeel/configuration/freshness.h"
#include "tests/configuration/simulated_faults.h"
#include "tests/support/manual_clock.h"
#include "tests/support/sample_configuration.h"

namespace laburnumkeel::testing {

// When a change is reported as accepted.
enum class Acceptance {
  // When a majority of data centres holds the version.
  kConfirmedByMajority,
  // At the commit, which requires recent contact with a majority.
  kMajorityContactOnly,
};

struct SimulationResult {
  int accepted = 0;
  // Number of VM steps in which a key was served more than 5 s after its
  // revocation was reported as accepted.
  int late = 0;
  // Like `late`, for VMs that always serve with the version they hold.
  int late_without_freshness = 0;
  int served_steps = 0;
  int vm_steps = 0;
};

// Simulates the control programs of a fleet with messages that take 0 to 400
// ms, a store, and an operator who revokes a key with each new version.
class SimulatedFleet {
 public:
  SimulatedFleet(SimulatedFaults faults, std::vector<int> revocations,
                 Acceptance acceptance, std::uint64_t seed)
      : faults(std::move(faults)),
        revocations(std::move(revocations)),
        acceptance(acceptance),
        random(seed) {
    for (int number = 0; number < kVms; ++number) {
      this->vms.push_back(std::make_unique<Vm>(this->clock, number));
      this->Adopt(*this->vms.back(), 1);
    }
  }

  SimulationResult Run(int steps) {
    for (this->step = 0; this->step < steps; ++this->step) {
      this->DeliverMessages();
      this->RunOperator();
      for (const auto& vm : this->vms) {
        if (!this->faults.IsPaused(vm->number, this->step)) {
          this->RunControl(*vm);
          this->CheckServing(*vm);
        }
      }
      this->clock.Advance(std::chrono::milliseconds(100));
    }
    return this->result;
  }

 private:
  struct Vm {
    Vm(const ManualClock& clock, int number)
        : number(number),
          data_centre(number % kDataCentres),
          freshness(clock, Name(this->data_centre)),
          sync(clock, std::to_string(number), Name(this->data_centre),
               static_cast<std::uint64_t>(number)) {}

    std::uint64_t Version() const { return this->holder.Current()->version; }

    const int number;
    const int data_centre;
    configuration::ConfigurationHolder holder;
    configuration::Freshness<ManualClock> freshness;
    configuration::ConfigurationSync<ManualClock> sync;
    // The last decision that the entry program received. It is valid for 500
    // ms, so that a pause of the whole VM cannot extend it.
    bool may_serve = false;
    int decided_at_step = 0;
    // Step of the last response from the other VM of the data centre.
    std::optional<int> neighbour_responded_at;
  };

  enum class Stage { kRequest, kResponse };

  // An exchange, or a store read when `to` is empty.
  struct Message {
    int from = 0;
    std::optional<int> to;
    Stage stage = Stage::kRequest;
    int arrival = 0;
    kernel::Instant sent;
    configuration::PeerEvidence evidence;
    std::uint64_t version = 0;
  };

  // A change that the operator's administration program is carrying out.
  struct Change {
    std::uint64_t version = 0;
    int vm = 0;
    std::optional<int> accepted_at_step;
  };

  static std::string Name(int data_centre) {
    return "dc" + std::to_string(data_centre + 1);
  }

  int Random(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(this->random);
  }

  void Adopt(Vm& vm, std::uint64_t version) {
    model::Configuration configuration = this->sample;
    configuration.version = version;
    if (vm.holder.Offer(configuration)) {
      vm.freshness.OnConfigurationHeld(configuration);
    }
  }

  void Send(Message message) {
    message.arrival = this->step + Random(3);
    this->messages.push_back(std::move(message));
  }

  void Exchange(Vm& from, int to) {
    this->Send(Message{from.number,
                       to,
                       Stage::kRequest,
                       0,
                       this->clock.Now(),
                       {},
                       from.freshness.Announce("").version});
  }

  void DeliverMessages() {
    for (std::size_t count = this->messages.size(); count > 0; --count) {
      Message message = std::move(this->messages.front());
      this->messages.pop_front();
      const bool to_peer =
          message.to.has_value() && message.stage == Stage::kRequest;
      const int receiver = to_peer ? *message.to : message.from;
      const bool receives_later = message.arrival > this->step ||
                                  this->faults.IsPaused(receiver, this->step);
      if (receives_later) {
        this->messages.push_back(std::move(message));
      } else if (this->Passes(message)) {
        this->Deliver(std::move(message));
      }
    }
  }

  bool Passes(const Message& message) const {
    const int from = message.from % kDataCentres;
    return message.to.has_value()
               ? this->faults.Reaches(from, *message.to % kDataCentres,
                                      this->step)
               : this->faults.ReachesStore(from, this->step);
  }

  void Deliver(Message message) {
    Vm& from = *this->vms[static_cast<std::size_t>(message.from)];
    if (!message.to.has_value()) {
      this->DeliverStoreResponse(from, std::move(message));
      return;
    }
    Vm& to = *this->vms[static_cast<std::size_t>(*message.to)];
    if (message.stage == Stage::kRequest) {
      this->OnVersionReceived(to, message.version, from.number);
      message.evidence = to.freshness.Announce(std::to_string(to.number));
      message.stage = Stage::kResponse;
      this->Send(std::move(message));
      return;
    }
    from.freshness.OnPeerResponse(message.sent, message.evidence);
    this->OnVersionReceived(from, message.evidence.version, to.number);
    if (to.data_centre == from.data_centre) {
      from.neighbour_responded_at = this->step;
    }
  }

  void DeliverStoreResponse(Vm& vm, Message message) {
    if (message.stage == Stage::kRequest) {
      message.version = this->store_version;
      message.stage = Stage::kResponse;
      this->Send(std::move(message));
      return;
    }
    this->Adopt(vm, message.version);
    vm.freshness.OnStoreResponse(message.sent, message.version);
  }

  void OnVersionReceived(Vm& vm, std::uint64_t version, int peer) {
    vm.freshness.OnVersionAnnounced(version);
    vm.sync.OnVersionAnnounced(version, std::to_string(peer), vm.Version());
  }

  void RunControl(Vm& vm) {
    const bool is_neighbour_live =
        vm.neighbour_responded_at.has_value() &&
        this->step - *vm.neighbour_responded_at <= 4 * kStepsPerSecond;
    const int neighbour = (vm.number + kDataCentres) % kVms;
    if (vm.sync.IsPollDue(
            is_neighbour_live
                ? std::vector<std::string>{std::to_string(neighbour)}
                : std::vector<std::string>{})) {
      this->ReadStore(vm);
    }
    // On average 3 exchanges per second, each with a random peer.
    if (this->Random(kStepsPerSecond) < 3) {
      this->Exchange(vm, this->AnyPeer(vm));
    }
    const auto plan = vm.sync.NextFetch(vm.Version());
    if (plan.has_value() &&
        plan->source == configuration::FetchSource::kStore) {
      this->ReadStore(vm);
    } else if (plan.has_value()) {
      const Vm& peer =
          *this->vms[static_cast<std::size_t>(std::stoi(plan->address))];
      if (this->faults.Reaches(vm.data_centre, peer.data_centre, this->step) &&
          !this->faults.IsPaused(peer.number, this->step)) {
        this->Adopt(vm, peer.Version());
      }
    }
  }

  void ReadStore(const Vm& vm) {
    this->Send(Message{
        vm.number, std::nullopt, Stage::kRequest, 0, this->clock.Now(), {}, 0});
  }

  int AnyPeer(const Vm& vm) {
    return (vm.number + 1 + this->Random(kVms - 1)) % kVms;
  }

  // The operator makes changes one at a time, each on a random VM.
  void RunOperator() {
    if (!this->change.has_value() && !this->revocations.empty() &&
        this->revocations.back() <= this->step) {
      this->revocations.pop_back();
      Vm& vm = *this->vms[static_cast<std::size_t>(this->Random(kVms))];
      if (!this->faults.IsPaused(vm.number, this->step) &&
          this->faults.ReachesStore(vm.data_centre, this->step) &&
          vm.freshness.HasMajorityContact()) {
        ++this->store_version;
        this->Adopt(vm, this->store_version);
        this->change = Change{this->store_version, vm.number, std::nullopt};
      }
    }
    if (this->change.has_value()) {
      this->ContinueChange(*this->change);
    }
  }

  void ContinueChange(Change& running) {
    Vm& vm = *this->vms[static_cast<std::size_t>(running.vm)];
    if (this->faults.IsPaused(vm.number, this->step)) {
      return;
    }
    if (this->acceptance == Acceptance::kMajorityContactOnly ||
        vm.freshness.IsHeldByMajority(running.version,
                                      this->sample.data_centres)) {
      running.accepted_at_step = this->step;
      ++this->result.accepted;
      this->accepted.push_back(running);
      this->change.reset();
      return;
    }
    for (int peer = 0; peer < kVms; ++peer) {
      if (peer != vm.number) {
        this->Exchange(vm, peer);
      }
    }
  }

  void CheckServing(Vm& vm) {
    const std::uint64_t held = vm.Version();
    const bool holds_revoked_key = std::any_of(
        this->accepted.begin(), this->accepted.end(),
        [&](const Change& change) {
          return change.version > held &&
                 this->step > *change.accepted_at_step + 5 * kStepsPerSecond;
        });
    const bool serves =
        vm.may_serve && this->step - vm.decided_at_step <= kStepsPerSecond / 2;
    ++this->result.vm_steps;
    this->result.served_steps += serves ? 1 : 0;
    this->result.late += serves && holds_revoked_key ? 1 : 0;
    this->result.late_without_freshness += holds_revoked_key ? 1 : 0;
    // The entry program receives this decision in the next step.
    vm.may_serve = configuration::MayServeKeyedRequests(
        vm.freshness.Decide(), this->sample.services[0]);
    vm.decided_at_step = this->step;
  }

  const model::Configuration sample = SampleConfiguration();
  const SimulatedFaults faults;
  // Steps at which the operator tries to revoke a key, the earliest last.
  std::vector<int> revocations;
  const Acceptance acceptance;
  std::mt19937_64 random;
  ManualClock clock;
  int step = 0;
  std::vector<std::unique_ptr<Vm>> vms;
  std::deque<Message> messages;
  std::uint64_t store_version = 1;
  std::optional<Change> change;
  std::vector<Change> accepted;
  SimulationResult result;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_CONFIGURATION_SIMULATED_FLEET_H_
