#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <memory>

#include "laburnumkeel/configuration/configuration_holder.h"
#include "laburnumkeel/configuration/startup_rule.h"

namespace laburnumkeel::configuration {
namespace {

constexpr int kVms = 5;

enum class EventKind {
  kAccept,
  kPoll,
  kExchange,
  kDelayedCopy,
  kRestart,
  kStore
};

struct Event {
  EventKind kind = EventKind::kAccept;
  int vm = 0;
  int peer = 0;
};

rc::Gen<Event> AnyEvent() {
  return rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::weightedElement<EventKind>(
                                     {{2, EventKind::kAccept},
                                      {3, EventKind::kPoll},
                                      {12, EventKind::kExchange},
                                      {3, EventKind::kDelayedCopy},
                                      {3, EventKind::kRestart},
                                      {1, EventKind::kStore}})),
      rc::gen::set(&Event::vm, rc::gen::inRange(0, kVms)),
      rc::gen::set(&Event::peer, rc::gen::inRange(0, kVms)));
}

// VMs that exchange copies of the configuration in any order. The naive variant
// adopts any version that arrives and counts responses of VMs that are still
// starting.
class Fleet {
 public:
  explicit Fleet(bool naive) : naive(naive) {
    for (int vm = 0; vm < kVms; ++vm) {
      this->vms.emplace_back();
      this->listed.push_back(std::to_string(vm));
    }
  }

  void Handle(const Event& event) {
    Vm& vm = this->vms[static_cast<std::size_t>(event.vm)];
    const Vm& peer = this->vms[static_cast<std::size_t>(event.peer)];
    switch (event.kind) {
      case EventKind::kAccept:
        this->accepted += this->store_up ? 1 : 0;
        break;
      case EventKind::kPoll:
        if (this->store_up) {
          vm.startup.OnStoreResponse(this->accepted);
          this->Receive(vm, this->accepted);
        }
        break;
      case EventKind::kExchange:
        this->Exchange(vm, peer, std::to_string(event.peer));
        break;
      case EventKind::kDelayedCopy:
        // A copy that was in transit for an arbitrary time.
        this->Receive(vm, this->accepted / 2);
        break;
      case EventKind::kRestart:
        vm = Vm{};
        vm.established_at_start = this->Established();
        break;
      case EventKind::kStore:
        this->store_up = !this->store_up;
        break;
    }
    this->Update(vm);
  }

  int Reversions() const { return this->reversions; }

 private:
  struct Vm {
    std::unique_ptr<ConfigurationHolder> holder =
        std::make_unique<ConfigurationHolder>();
    StartupRule startup;
    bool ready = false;
    std::uint64_t shown_version = 0;
    std::uint64_t established_at_start = 0;
  };

  std::uint64_t Version(const Vm& vm) const {
    return this->naive ? vm.shown_version : vm.holder->Current()->version;
  }

  void Receive(Vm& vm, std::uint64_t version) {
    model::Configuration copy;
    copy.version = version;
    vm.holder->Offer(copy);
    if (this->naive && version > 0) {
      this->reversions += vm.ready && version < vm.shown_version ? 1 : 0;
      vm.shown_version = version;
    }
  }

  void Exchange(Vm& vm, const Vm& peer, const std::string& peer_name) {
    const bool counts = peer.ready || this->naive;
    const std::uint64_t version = counts ? this->Version(peer) : 0;
    vm.startup.OnPeerResponse(peer_name, version);
    this->Receive(vm, version);
  }

  // Checks a VM after an event. Its version is visible once it is ready.
  void Update(Vm& vm) {
    const std::uint64_t version = this->Version(vm);
    if (!this->naive && vm.ready && version < vm.shown_version) {
      ++this->reversions;
    }
    if (!vm.ready && vm.startup.IsReady(this->listed, version)) {
      vm.ready = true;
      this->reversions += version < vm.established_at_start ? 1 : 0;
    }
    vm.shown_version = version;
    this->established = this->Established();
  }

  // The highest version that a majority of VMs has held at the same time while
  // ready.
  std::uint64_t Established() const {
    std::vector<std::uint64_t> versions;
    for (const Vm& vm : this->vms) {
      versions.push_back(vm.ready ? vm.shown_version : 0);
    }
    std::sort(versions.begin(), versions.end());
    return std::max(this->established, versions[kVms / 2]);
  }

  const bool naive;
  std::vector<Vm> vms;
  std::vector<std::string> listed;
  std::uint64_t accepted = 1;
  std::uint64_t established = 0;
  bool store_up = true;
  int reversions = 0;
};

class VersionOrderPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionOrderPropertyTest);
  CPPUNIT_TEST(VersionNeverReverts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a stale copy that replaces a newer one, and against a
  // restarted VM that becomes ready with a lower version than a majority of VMs
  // held when it started.
  void VersionNeverReverts() {
    int reversions = 0;
    int naive_reversions = 0;
    const bool holds = rc::check("a version never reverts", [&] {
      const auto events = *rc::gen::resize(
          400, rc::gen::container<std::vector<Event>>(AnyEvent()));
      Fleet fleet(false);
      Fleet naive_fleet(true);
      for (const Event& event : events) {
        fleet.Handle(event);
        naive_fleet.Handle(event);
      }
      naive_reversions += naive_fleet.Reversions();
      reversions += fleet.Reversions();
      RC_ASSERT(fleet.Reversions() == 0);
    });
    std::cerr << "version order: " << reversions
              << " reversions, naive version " << naive_reversions << '\n';
    CPPUNIT_ASSERT(holds);
    CPPUNIT_ASSERT(naive_reversions > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionOrderPropertyTest);

}  // namespace
}  // namespace laburnumkeel::configuration
