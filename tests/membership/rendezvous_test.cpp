#include "laburnumkeel/membership/rendezvous.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

#include "laburnumkeel/membership/watcher_selection.h"

namespace laburnumkeel::membership {
namespace {

std::vector<VmRecord> Fleet() {
  std::vector<VmRecord> fleet;
  for (int i = 0; i < 12; ++i) {
    fleet.push_back(VmRecord{"vm-" + std::to_string(i),
                             "dc-" + std::to_string(i % 3), "", "", false});
  }
  return fleet;
}

class RendezvousTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RendezvousTest);
  CPPUNIT_TEST(WeightsAreStable);
  CPPUNIT_TEST(KeysAreSpread);
  CPPUNIT_TEST(OtherVmsKeepTheirOrder);
  CPPUNIT_TEST(SelectsThreeWatchersForEachDataCentre);
  CPPUNIT_TEST(DepartingVmDoesNotWatch);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a hash that differs between releases or machines: VMs would
  // disagree on who watches a group.
  void WeightsAreStable() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x4016b6c5b00347b7},
                         RendezvousWeight("group", "vm-1"));
    CPPUNIT_ASSERT(RendezvousWeight("a", "bc") != RendezvousWeight("ab", "c"));
  }

  // Guards against a hash that prefers some VMs when the names differ only in
  // their last character.
  void KeysAreSpread() {
    std::map<std::string, int> first;
    for (int key = 0; key < 8000; ++key) {
      ++first[RendezvousOrder("g" + std::to_string(key),
                              {"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5",
                               "vm-6", "vm-7"})
                  .front()];
    }
    for (const auto& [vm, count] : first) {
      CPPUNIT_ASSERT_MESSAGE(vm, count > 850 && count < 1150);
    }
  }

  // Guards against reassigning all watchers when one VM leaves.
  void OtherVmsKeepTheirOrder() {
    std::vector<std::string> order =
        RendezvousOrder("group", {"a", "b", "c", "d"});
    std::vector<std::string> rest = order;
    rest.erase(rest.begin() + 1);
    std::vector<std::string> unordered = rest;
    std::sort(unordered.begin(), unordered.end());
    CPPUNIT_ASSERT(rest == RendezvousOrder("group", unordered));
  }

  // Guards against a data centre without watchers, and against two watchers
  // with the same rank.
  void SelectsThreeWatchersForEachDataCentre() {
    const std::vector<std::string> watchers = SelectWatchers("g", Fleet());
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, watchers.size());
    std::map<std::string, int> by_data_centre;
    for (const VmRecord& vm : Fleet()) {
      const auto rank = WatcherRank("g", Fleet(), vm.name);
      by_data_centre[vm.data_centre] += rank ? 1 : 0;
      CPPUNIT_ASSERT(!rank || watchers[*rank] == vm.name);
    }
    for (const auto& [data_centre, count] : by_data_centre) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(data_centre, 3, count);
    }
  }

  // Guards against a watcher that ends in the middle of a promotion because its
  // VM shuts down, and against a fleet that stops polling the store.
  void DepartingVmDoesNotWatch() {
    std::vector<VmRecord> fleet = Fleet();
    const std::string first = SelectWatchers("g", fleet).front();
    const std::string poller = *SelectStorePoller("dc-0", fleet);
    for (VmRecord& vm : fleet) {
      vm.departing = vm.name == first || vm.name == poller;
    }
    CPPUNIT_ASSERT(!WatcherRank("g", fleet, first));
    CPPUNIT_ASSERT(SelectStorePoller("dc-0", fleet) != poller);
    for (VmRecord& vm : fleet) {
      vm.departing = true;
    }
    CPPUNIT_ASSERT(WatcherRank("g", fleet, first));
    CPPUNIT_ASSERT(!SelectStorePoller("dc-9", fleet));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousTest);

}  // namespace
}  // namespace laburnumkeel::membership
