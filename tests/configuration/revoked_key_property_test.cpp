#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <iostream>

#include "tests/configuration/simulated_fleet.h"

namespace laburnumkeel::configuration {
namespace {

using testing::Acceptance;
using testing::SimulatedFaults;
using testing::SimulatedFleet;
using testing::SimulationResult;

// One minute in steps of 100 ms.
constexpr int kSteps = 600;

class RevokedKeyPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RevokedKeyPropertyTest);
  CPPUNIT_TEST(RevokedKeyStopsWithinFiveSeconds);
  CPPUNIT_TEST(FaultFreeFleetAlwaysServes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a VM that keeps serving a revoked key while it is isolated,
  // after a pause or during a store outage.
  void RevokedKeyStopsWithinFiveSeconds() {
    SimulationResult total;
    int late_unconfirmed = 0;
    const bool holds = rc::check("a revoked key stops within 5 s", [&] {
      const auto faults = *testing::AnyFaults(kSteps);
      auto revocations =
          *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, kSteps));
      std::sort(revocations.begin(), revocations.end(), std::greater<>());
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto run = [&](Acceptance acceptance) {
        return SimulatedFleet(SimulatedFaults(faults), revocations, acceptance,
                              seed)
            .Run(kSteps);
      };
      const SimulationResult result = run(Acceptance::kConfirmedByMajority);
      total.accepted += result.accepted;
      total.late += result.late;
      total.late_without_freshness += result.late_without_freshness;
      total.served_steps += result.served_steps;
      total.vm_steps += result.vm_steps;
      late_unconfirmed += run(Acceptance::kMajorityContactOnly).late;
      RC_ASSERT(result.late == 0);
    });
    std::cerr << "revoked key: " << total.accepted
              << " revocations accepted; late serving in steps of 100 ms: "
              << total.late << ", without freshness "
              << total.late_without_freshness
              << ", accepted without confirmation " << late_unconfirmed
              << "; served " << total.served_steps << " of " << total.vm_steps
              << " steps\n";
    CPPUNIT_ASSERT(holds);
    CPPUNIT_ASSERT(total.accepted > 0);
    CPPUNIT_ASSERT(total.late_without_freshness > 0);
  }

  // Guards against a rule that meets the time bound by refusing requests
  // without need.
  void FaultFreeFleetAlwaysServes() {
    const SimulationResult result =
        SimulatedFleet(SimulatedFaults({}), {400, 300, 200, 100},
                       Acceptance::kConfirmedByMajority, 1)
            .Run(kSteps);
    CPPUNIT_ASSERT_EQUAL(4, result.accepted);
    // It takes up to one second until all VMs have a proof from the store.
    const int allowed = testing::kVms * testing::kStepsPerSecond;
    CPPUNIT_ASSERT(result.served_steps >= result.vm_steps - allowed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevokedKeyPropertyTest);

}  // namespace
}  // namespace laburnumkeel::configuration
