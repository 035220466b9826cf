#include "laburnumkeel/promotion/planned_promotion.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "tests/support/fake_group.h"
#include "tests/support/fake_table.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::promotion {
namespace {

using testing::FakeGroup;
using testing::FakeTable;
using testing::ManualClock;
using Planned = PlannedPromotion<ManualClock, FakeGroup, FakeTable>;

class PlannedPromotionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedPromotionTest);
  CPPUNIT_TEST(WaitsForTheTarget);
  CPPUNIT_TEST(PromotesAnotherMemberWithTheWholeLog);
  CPPUNIT_TEST(KeepsThePrimaryWhenNoMemberHasItsLog);
  CPPUNIT_TEST(RefusesAFormerPrimary);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against promoting a target without the last writes, and against
  // writes that the departing primary executes in the meantime.
  void WaitsForTheTarget() {
    Planned planned = this->Planning("b");
    CPPUNIT_ASSERT(planned.Start().has_value());
    CPPUNIT_ASSERT(!this->group.At("a").Write(1, 2));
    CPPUNIT_ASSERT(!planned.Poll().value());
    this->group.At("a").ReplicateTo(this->group.At("b"), 9);
    this->group.At("a").ReplicateTo(this->group.At("c"), 9);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), planned.Poll().value()->endpoint);
    CPPUNIT_ASSERT(!this->group.At("a").IsActivePrimary());
  }

  // Guards against a departing primary that is not replaced because the
  // preferred target is down.
  void PromotesAnotherMemberWithTheWholeLog() {
    this->connection.SetCut("b", true);
    Planned planned = this->Planning("b");
    CPPUNIT_ASSERT(planned.Start().has_value());
    this->group.At("a").ReplicateTo(this->group.At("c"), 9);
    CPPUNIT_ASSERT(!planned.Poll().value());
    this->clock.Advance(Planned::kCatchUpTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), planned.Poll().value()->endpoint);
  }

  // Guards against lost writes when no other member has caught up.
  void KeepsThePrimaryWhenNoMemberHasItsLog() {
    Planned planned = this->Planning("b");
    CPPUNIT_ASSERT(planned.Start().has_value());
    this->clock.Advance(Planned::kCatchUpTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), planned.Poll().value()->endpoint);
    CPPUNIT_ASSERT(this->group.At("a").Holds(1));
  }

  // Guards against a planned promotion that interferes with a failover.
  void RefusesAFormerPrimary() {
    CPPUNIT_ASSERT(this->group.Seal("a", 2, "other").value().accepted);
    const auto refused = this->Planning("b").Start();
    CPPUNIT_ASSERT(refused.error().failure == PromotionFailure::kLostRace);
    this->connection.SetCut("a", true);
    const auto unreachable = this->Planning("b").Start();
    CPPUNIT_ASSERT(unreachable.error().failure ==
                   PromotionFailure::kNoResponse);
  }

  void setUp() override {
    this->group.At("a").PromoteUnsealed(1);
    for (const std::string name : {"b", "c"}) {
      this->group.At("a").ReplicateTo(this->group.At(name), 1);
    }
    this->group.At("a").Write(1, 1);
  }

 private:
  Planned Planning(const std::string& target) {
    this->promoter = std::make_unique<Promoter<FakeGroup, FakeTable>>(
        "x", "1", this->connection, FakeTable());
    return Planned(
        this->clock, this->connection, *this->promoter,
        PlannedPromotionRequest{"g", FakeGroup::Names(), "a", target});
  }

  ManualClock clock;
  FakeGroup group;
  FakeGroup connection = this->group;
  std::unique_ptr<Promoter<FakeGroup, FakeTable>> promoter;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedPromotionTest);

}  // namespace
}  // namespace laburnumkeel::promotion
