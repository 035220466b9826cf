#include "laburnumkeel/promotion/promoter.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/fake_group.h"
#include "tests/support/fake_table.h"

namespace laburnumkeel::promotion {
namespace {

using testing::FakeGroup;
using testing::FakeTable;
using testing::TableFault;
using TestedPromoter = Promoter<FakeGroup, FakeTable>;

class PromoterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromoterTest);
  CPPUNIT_TEST(PromotesTheGreatestLogEnd);
  CPPUNIT_TEST(NeedsAMajority);
  CPPUNIT_TEST(LosesAgainstAnotherPromoter);
  CPPUNIT_TEST(ResumedPromoterDoesNotReplaceANewPrimary);
  CPPUNIT_TEST(RetriesLostResponses);
  CPPUNIT_TEST(EachAttemptHasItsOwnId);
  CPPUNIT_TEST(PublishesOnceTheStoreIsBack);
  CPPUNIT_TEST(ReadsBackALostPublication);
  CPPUNIT_TEST(NeverPublishesALowerTerm);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a new primary that lacks acknowledged writes: a longer log
  // of an older term must not be preferred.
  void PromotesTheGreatestLogEnd() {
    this->group.At("a").Write(1, 7);
    this->group.At("a").Write(1, 8);
    this->group.At("b").PromoteUnsealed(2);
    this->group.At("b").ReplicateTo(this->group.At("c"), 1);
    const auto result = this->Promoting("x").Promote(
        PromotionRequest{"g", {"a", "c", "b"}, 2, "a", "", false});
    CPPUNIT_ASSERT_EQUAL(std::string("c"), result.value().endpoint);
    CPPUNIT_ASSERT_EQUAL(model::Term{3}, result.value().term);
    CPPUNIT_ASSERT(this->group.At("c").IsActivePrimary());
  }

  // Guards against a promotion from an isolated data centre.
  void NeedsAMajority() {
    FakeGroup minority = this->group;
    minority.SetCut("a", true);
    minority.SetCut("b", true);
    const auto result = TestedPromoter("x", "1", minority, this->table)
                            .Promote(this->Request(1));
    CPPUNIT_ASSERT(result.error().failure == PromotionFailure::kNoMajority);
    CPPUNIT_ASSERT(this->group.At("a").IsActivePrimary());
  }

  // Guards against two primaries in one term.
  void LosesAgainstAnotherPromoter() {
    CPPUNIT_ASSERT(this->Promoting("x").Promote(this->Request(1)).has_value());
    const auto lost = this->Promoting("y").Promote(this->Request(1));
    CPPUNIT_ASSERT(lost.error().failure == PromotionFailure::kLostRace);
    CPPUNIT_ASSERT_EQUAL(model::Term{2}, lost.error().highest_term);
  }

  // Guards against a promoter that was suspended after its decision and
  // replaces the primary that was promoted in the meantime.
  void ResumedPromoterDoesNotReplaceANewPrimary() {
    TestedPromoter paused = this->Promoting("y");
    const PromotionRequest decided = this->Request(1);
    const auto first = this->Promoting("x").Promote(decided);
    CPPUNIT_ASSERT(!paused.Promote(decided).has_value());
    CPPUNIT_ASSERT(this->group.At(first.value().endpoint).IsActivePrimary());
  }

  // Guards against an attempt that fails because one response was lost: an
  // endpoint that sealed the term would refuse it under another id.
  void RetriesLostResponses() {
    for (int lost = 0; lost < 6; ++lost) {
      FakeGroup lossy = this->group;
      lossy.LoseResponses(lost);
      const model::Term known = this->group.MajoritySealedTerm();
      const auto result =
          TestedPromoter("x", std::to_string(lost), lossy, this->table)
              .Promote(this->Request(known));
      CPPUNIT_ASSERT_EQUAL(lost < 4, result.has_value());
    }
  }

  // Guards against a second attempt that an endpoint takes for a retry of the
  // first.
  void EachAttemptHasItsOwnId() {
    TestedPromoter promoter = this->Promoting("x");
    const auto first = promoter.Promote(this->Request(1));
    const auto second = promoter.Promote(this->Request(2));
    const auto other = TestedPromoter("x", "2", this->group, this->table)
                           .Promote(this->Request(3));
    CPPUNIT_ASSERT_EQUAL(std::string("x/1/g/1"), first.value().promoter);
    CPPUNIT_ASSERT_EQUAL(std::string("x/1/g/2"), second.value().promoter);
    CPPUNIT_ASSERT_EQUAL(std::string("x/2/g/1"), other.value().promoter);
  }

  // Guards against a store outage that stops a promotion.
  void PublishesOnceTheStoreIsBack() {
    FakeTable down = this->table;
    down.SetFault(TableFault::kDown);
    TestedPromoter promoter("x", "1", this->group, down);
    const auto primary = promoter.Promote(this->Request(1));
    CPPUNIT_ASSERT(primary.has_value());
    const auto failed = promoter.Publish(primary.value());
    CPPUNIT_ASSERT(failed.error().failure == PromotionFailure::kNotPublished);
    CPPUNIT_ASSERT(this->Promoting("x").Publish(primary.value()).has_value());
    CPPUNIT_ASSERT(primary.value() == this->Stored());
  }

  // Guards against a publication that is reported as failed, or repeated,
  // because its response was lost.
  void ReadsBackALostPublication() {
    FakeTable lossy = this->table;
    lossy.SetFault(TableFault::kLoseResponse);
    TestedPromoter promoter("x", "1", this->group, lossy);
    const auto primary = promoter.Promote(this->Request(1));
    CPPUNIT_ASSERT(promoter.Publish(primary.value()).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         this->table.Read("primaries/g").value().version);
  }

  // Guards against a delayed publisher that directs starting VMs to a former
  // primary.
  void NeverPublishesALowerTerm() {
    TestedPromoter promoter = this->Promoting("x");
    const PromotionResult newer{"g", 9, "b", "p"};
    CPPUNIT_ASSERT(promoter.Publish(newer).has_value());
    CPPUNIT_ASSERT(
        promoter.Publish(PromotionResult{"g", 8, "a", "q"}).has_value());
    CPPUNIT_ASSERT(newer == this->Stored());
    CPPUNIT_ASSERT(!DecodePrimary("g", "{\"term\":1}"));
  }

  void setUp() override {
    this->group.At("a").PromoteUnsealed(1);
    for (const std::string name : {"b", "c"}) {
      this->group.At("a").ReplicateTo(this->group.At(name), 1);
    }
  }

 private:
  static PromotionRequest Request(model::Term known_term) {
    return PromotionRequest{"g", FakeGroup::Names(), known_term, "", "", false};
  }

  TestedPromoter Promoting(const std::string& vm) {
    return TestedPromoter(vm, "1", this->group, this->table);
  }

  PromotionResult Stored() {
    return *DecodePrimary("g", this->table.Read("primaries/g").value().value);
  }

  FakeGroup group;
  FakeTable table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromoterTest);

}  // namespace
}  // namespace laburnumkeel::promotion
