#include "laburnumkeel/model/log_position.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::model {
namespace {

class LogPositionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogPositionTest);
  CPPUNIT_TEST(HigherTermNeedNotContainAnEarlierPosition);
  CPPUNIT_TEST(EveryLaterTermMustContainThePosition);
  CPPUNIT_TEST(UnknownTermIsNotContained);
  CPPUNIT_TEST(SkippedTermIsNotContained);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against assuming that a log in term 5 contains (4, 120).
  void HigherTermNeedNotContainAnEarlierPosition() {
    const std::vector<TermStart> terms{{4, 80}, {5, 100}};
    CPPUNIT_ASSERT(!IsContained(LogPosition{4, 120}, terms));
    CPPUNIT_ASSERT(IsContained(LogPosition{4, 100}, terms));
  }

  // Guards against checking only the first later term.
  void EveryLaterTermMustContainThePosition() {
    const std::vector<TermStart> terms{{4, 80}, {5, 110}, {7, 105}};
    CPPUNIT_ASSERT(!IsContained(LogPosition{4, 108}, terms));
  }

  // Guards against accepting a position of a newer term in a log of an older
  // one.
  void UnknownTermIsNotContained() {
    CPPUNIT_ASSERT(!IsContained(LogPosition{6, 1}, {{4, 80}, {5, 100}}));
    CPPUNIT_ASSERT(IsContained(LogPosition{0, 0}, {}));
  }

  // Guards against confusing an entry of term 5 with one that a primary of
  // term 6 wrote at the same position and never replicated.
  void SkippedTermIsNotContained() {
    const std::vector<TermStart> terms{{5, 40}, {7, 60}};
    CPPUNIT_ASSERT(!IsContained(LogPosition{6, 50}, terms));
    CPPUNIT_ASSERT(IsContained(LogPosition{5, 60}, terms));
    CPPUNIT_ASSERT(IsContained(LogPosition{3, 30}, terms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogPositionTest);

}  // namespace
}  // namespace laburnumkeel::model
