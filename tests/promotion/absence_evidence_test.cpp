#include "laburnumkeel/promotion/absence_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace laburnumkeel::promotion {
namespace {

using kernel::Instant;
using std::chrono::seconds;

class AbsenceEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AbsenceEvidenceTest);
  CPPUNIT_TEST(NothingKnownIsNoEvidence);
  CPPUNIT_TEST(AnnouncedDepartureIsOverAfterTheDrainTime);
  CPPUNIT_TEST(SilenceCountsOnlyWhileThePrimaryResponds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingKnownIsNoEvidence() {
    CPPUNIT_ASSERT(
        !AbsenceEvidence{}.IsAbsent(kStart + seconds(1000), kDrainBound));
  }

  void AnnouncedDepartureIsOverAfterTheDrainTime() {
    AbsenceEvidence evidence;
    evidence.draining_since = kStart;
    CPPUNIT_ASSERT(!evidence.IsAbsent(kStart + seconds(6), kDrainBound));
    CPPUNIT_ASSERT(evidence.IsAbsent(kStart + seconds(7), kDrainBound));
  }

  // Guards against an endpoint that is taken for missing because a cut parts it
  // from this VM together with the primary.
  void SilenceCountsOnlyWhileThePrimaryResponds() {
    AbsenceEvidence evidence;
    evidence.silent_since = kStart;
    evidence.primary_contact = kStart - seconds(1);
    CPPUNIT_ASSERT(!evidence.IsAbsent(kStart + seconds(1000), kDrainBound));
    evidence.primary_contact = kStart + seconds(1);
    CPPUNIT_ASSERT(!evidence.IsAbsent(kStart + seconds(1000), kDrainBound));
    evidence.primary_contact = kStart + seconds(2);
    CPPUNIT_ASSERT(evidence.IsAbsent(kStart + seconds(2), kDrainBound));
  }

 private:
  static constexpr Instant kStart{seconds(5000)};
  static constexpr seconds kDrainBound{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AbsenceEvidenceTest);

}  // namespace
}  // namespace laburnumkeel::promotion
