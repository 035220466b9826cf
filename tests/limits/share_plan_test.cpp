#include "laburnumkeel/limits/share_plan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace laburnumkeel::limits {
namespace {

class SharePlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharePlanTest);
  CPPUNIT_TEST(SmallDemandIsServedFirst);
  CPPUNIT_TEST(OneVmMayGetTheWholeRate);
  CPPUNIT_TEST(ReservesOfCrashedVmsAreBounded);
  CPPUNIT_TEST(TargetsAddUpToAtMostTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a VM with large demand that leaves nothing for the others.
  void SmallDemandIsServedFirst() {
    const std::vector<double> grants = MaxMinFair(10, {100, 2, 5});
    CPPUNIT_ASSERT(grants == (std::vector<double>{4, 2, 4}));
  }

  // Guards against reserves of idle VMs that prevent an account from using its
  // rate when all its callers reach one VM.
  void OneVmMayGetTheWholeRate() {
    PlanInput input{{100, 100}, {}, {}, {}, 8, 0.4};
    for (int vm = 0; vm < 8; ++vm) {
      input.active.push_back(VmDemand{std::to_string(vm), vm == 3 ? 100.0 : 0});
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Total(PlanShares(input, "3")).rate, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, PlanShares(input, "3").reserve.rate, 1e-6);
  }

  // Guards against crashes that turn the whole limit into reserves that
  // nobody can use for 12 h.
  void ReservesOfCrashedVmsAreBounded() {
    const PlanInput input{{100, 100},          {30, 30}, {38, 38},
                          {VmDemand{"a", 80}}, 8,        0.4};
    const AccountShares shares = PlanShares(input, "a");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, shares.reserve.rate, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(68, shares.dynamic.rate, 1e-6);
  }

  // Guards against targets that add up to more than the limit, so that shares
  // would never become stable.
  void TargetsAddUpToAtMostTheLimit() {
    CPPUNIT_ASSERT(rc::check([] {
      const double rate = *rc::gen::inRange(0, 1000);
      const double burst = *rc::gen::inRange(0, 50);
      const auto demands = *rc::gen::nonEmpty(
          rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2000)));
      PlanInput input{{rate, burst}, {}, {}, {}, 8, 0.4};
      for (std::size_t vm = 0; vm < demands.size(); ++vm) {
        input.active.push_back(
            VmDemand{std::to_string(vm), static_cast<double>(demands[vm])});
      }
      ShareAmount sum;
      for (const VmDemand& vm : input.active) {
        sum = sum + Total(PlanShares(input, vm.incarnation));
      }
      RC_ASSERT(sum.rate <= rate * (1 + 1e-9));
      RC_ASSERT(sum.burst <= burst * (1 + 1e-9));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharePlanTest);

}  // namespace
}  // namespace laburnumkeel::limits
