#include "laburnumkeel/routing/position_samples.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::routing {
namespace {

using std::chrono::milliseconds;

class PositionSamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PositionSamplesTest);
  CPPUNIT_TEST(LowestPositionThatCovers);
  CPPUNIT_TEST(NothingCoversTheFuture);
  CPPUNIT_TEST(LateResponseDoesNotLowerThePosition);
  CPPUNIT_TEST(DenseSamplesKeepTheirSpacing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requiring a higher position of replicas than the bound on
  // staleness does.
  void LowestPositionThatCovers() {
    this->samples.Add({1, 10}, At(0));
    this->samples.Add({1, 20}, At(100));
    this->samples.Add({1, 30}, At(200));
    const auto sample = this->samples.LowestCovering(At(50));
    CPPUNIT_ASSERT((sample->position == model::LogPosition{1, 20}));
  }

  // Guards against a read that uses a sample older than its bound on staleness.
  void NothingCoversTheFuture() {
    this->samples.Add({1, 10}, At(0));
    CPPUNIT_ASSERT(!this->samples.LowestCovering(At(1)));
  }

  // Guards against a lower position for a later instant when responses of the
  // primary arrive out of order.
  void LateResponseDoesNotLowerThePosition() {
    this->samples.Add({1, 20}, At(0));
    this->samples.Add({1, 15}, At(100));
    const auto sample = this->samples.LowestCovering(At(100));
    CPPUNIT_ASSERT((sample->position == model::LogPosition{1, 20}));
  }

  // Guards against memory use that grows with the load, and against merging so
  // many samples that none covers an older instant closely.
  void DenseSamplesKeepTheirSpacing() {
    for (int ms = 0; ms <= 1000; ++ms) {
      this->samples.Add({1, static_cast<std::uint64_t>(ms)}, At(ms));
    }
    const auto sample = this->samples.LowestCovering(At(500));
    CPPUNIT_ASSERT(sample->covered_until <=
                   At(500) + 2 * PositionSamples::kSpacing);
    CPPUNIT_ASSERT(this->samples.CoveredUntil() == At(1000));
  }

 private:
  static kernel::Instant At(int ms) {
    return kernel::Instant(std::chrono::hours(1) + milliseconds(ms));
  }

  PositionSamples samples;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionSamplesTest);

}  // namespace
}  // namespace laburnumkeel::routing
